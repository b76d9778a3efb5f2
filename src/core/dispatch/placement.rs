//! Selects the next task and the worker to run it.

use {
    super::{
        DispatchAction, Dispatcher,
        expected_completion::completion_weight,
        job::{Job, JobKey, Task, TaskState},
        queue::WaitingTask,
        weighted_choice::WeightedChoice,
        worker_link::{OpenRun, WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{EntryFrame, EvacuatedZones, StartOrder},
        queue_shares::ShareClass,
        time::Instant,
        work::{Resources, StepSpec},
    },
    std::mem,
};

/// Number of waiting tasks without a fitting worker after which placement stops until the next
/// event, to limit CPU time. Tasks of one service are much alike, so the next ones would not fit
/// either.
const MAX_MISSES: usize = 24;
/// The same for tasks that wait for a faster worker; shorter ones behind them may use the free ones.
const MAX_HELD_TASKS: usize = 24;
/// Weight factor of a worker in the rack that holds the task's data; elsewhere tasks take half as
/// long again, or twice as long.
const DATA_RACK_FACTOR: f64 = 1e6;
/// Weight factor of a worker on which the task is likely to fail.
const AVOID_FACTOR: f64 = 1e-6;
/// Exponent of a worker's weight for a task under which a worker has crashed; such a task goes to a
/// worker with little other work.
const SUSPECT_EXPONENT: i32 = 4;
/// Minimum weight, for workers without free CPU and tasks that need none.
const MIN_WEIGHT: f64 = 1e-4;

impl Dispatcher {
    /// Assigns waiting tasks to workers with free capacity.
    pub(super) fn place_tasks(&mut self, now: Instant) {
        let mut misses = 0;
        let mut last_examined = None;
        self.held_tasks = 0;
        while misses < MAX_MISSES
            && self.held_tasks < MAX_HELD_TASKS
            && let Some(waiting) = self.queue.next_after(last_examined.as_ref())
        {
            last_examined = Some(waiting);
            if !waiting.is_current(now) {
                self.requeue(now, waiting);
                continue;
            }
            let held_before = self.held_tasks;
            if !self.place(now, &waiting) && self.held_tasks == held_before {
                misses += 1;
            }
        }
    }

    /// Notifies agents that the capacity which they reserved is not needed.
    pub(super) fn decline_unused_capacity(&mut self) {
        for key in mem::take(&mut self.capacity_reported) {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            if let Some(link) = worker.link
                && worker.clear_unused_request()
            {
                let frame = EntryFrame::Decline;
                self.actions.push(DispatchAction::Send { link, frame });
            }
        }
    }

    /// Sends a task to a worker with free capacity; returns whether there is one.
    fn place(&mut self, now: Instant, waiting: &WaitingTask) -> bool {
        let Some(job) = self.jobs.get(waiting.job) else {
            self.queue.remove(waiting);
            return true;
        };
        let (Some(task), Some(step)) = (job.tasks.get(waiting.task), job.step(waiting.task)) else {
            self.queue.remove(waiting);
            return true;
        };
        if task.not_before > now {
            return false;
        }
        if job.open_runs > 0 && self.crashes.has_task_of(job.id) {
            return false;
        }
        // Once begun, its other tasks precede those of all other jobs.
        if waiting.share_class == ShareClass::Beyond && !self.has_capacity_for(now, job, 0) {
            return false;
        }
        let busy_at = self.busy_worker(now, job, task, step);
        let is_suspect = self.crashes.is_suspect(job.run_id(task).task);
        let terms = self.completion_terms(now, job, waiting.task);
        let terms = terms.filter(|_| !is_suspect);
        let mut late = Vec::new();
        let mut choice = WeightedChoice::new(&mut self.rng);
        for (key, worker) in &self.workers {
            if let Some(free) = free_capacity_for(now, worker, job, step, self.zones.as_ref())
                && worker.may_send_start(step.needs)
                && busy_at.is_none_or(|busy| busy == key)
                && !is_at_task_limit(worker, job, task, step)
                && !(is_suspect && worker.has_suspect_run())
            {
                let is_risky = is_risky(key, worker, task);
                let weight = weight(worker, free, step, is_risky);
                let Some(terms) = &terms else {
                    let exponent = if is_suspect { SUSPECT_EXPONENT } else { 1 };
                    choice.add(key, weight.powi(exponent));
                    continue;
                };
                match completion_weight(now, terms, worker, free, (job, step)) {
                    Some(weight) if !is_risky => choice.add(key, weight),
                    Some(_) | None => late.push((key, weight)),
                }
            }
        }
        let chosen = choice.chosen();
        if chosen.is_none()
            && !late.is_empty()
            && terms.is_some_and(|terms| self.is_waiting_better(now, job, step, &terms))
        {
            self.held_tasks += 1;
            return false;
        }
        let Some(worker) = chosen.or_else(|| self.choose(&late)) else {
            return false;
        };
        self.queue.remove(waiting);
        self.send_start(now, waiting, worker);
        if waiting.not_begun {
            self.place_remaining_tasks(now, waiting.job);
        }
        true
    }

    /// The worker that has another entry's run of the task. The task may start there only: the agent
    /// accepts it once that run has ended.
    ///
    /// A worker that takes no tasks can't show that. Its run has been stopped after the time limit,
    /// unless its entry still has a client that waits.
    fn busy_worker(
        &self,
        now: Instant,
        job: &Job,
        task: &Task,
        step: &StepSpec,
    ) -> Option<WorkerKey> {
        let (key, since) = task.busy_at?;
        let view = self
            .workers
            .get(key)
            .and_then(|worker| worker.usable_view(now, job, step, self.zones.as_ref()));
        let limit_ms = self.settings.limits.runs_stopped_after_ms();
        (view.is_some() || now.millis_since(since) < limit_ms).then_some(key)
    }

    /// Places the other tasks of a job whose first task was just started. Those without a fitting
    /// worker stay queued ahead of jobs that have not begun.
    fn place_remaining_tasks(&mut self, now: Instant, key: JobKey) {
        for waiting in self.queue.drain_job(key) {
            self.enqueue(now, key, waiting.task);
        }
        let mut has_capacity = true;
        while has_capacity && let Some(waiting) = self.queue.first_of_job(key) {
            has_capacity = self.place(now, &waiting);
        }
    }

    fn send_start(&mut self, now: Instant, waiting: &WaitingTask, key: WorkerKey) {
        let (Some(job), Some(worker)) = (self.jobs.get_mut(waiting.job), self.workers.get_mut(key))
        else {
            return;
        };
        let Some(link) = worker.link else {
            return;
        };
        let time_left_ms = job.time_left_ms(now, waiting.task);
        let (needs, estimate_ms) =
            job.step(waiting.task)
                .map_or((Resources::default(), 0), |step| {
                    let estimate_ms =
                        worker.normal_run_ms(step, self.settings.remote_penalty_permille);
                    (step.needs, estimate_ms)
                });
        let expected_ms = estimate_ms as f64 * worker.slowness;
        let is_in_time = expected_ms <= time_left_ms as f64;
        self.start_counts.record(is_in_time);
        job.is_expected_late |= !is_in_time;
        let Some(task) = job.tasks.get_mut(waiting.task) else {
            return;
        };
        task.state = TaskState::Started;
        task.last_run += 1;
        let task = *task;
        let run = job.run_id(&task);
        let is_suspect = self.crashes.is_suspect(run.task);
        job.open_runs += 1;
        job.starts += 1;
        job.last_start = now;
        let order = StartOrder {
            run,
            spec: job.request.spec.clone(),
            needs,
            time_left_ms: job.deadline.millis_since(now),
            estimate_ms,
            is_suspect,
        };
        worker.record_start(needs);
        worker.last_start_at = now;
        let open = OpenRun {
            job: waiting.job,
            task: waiting.task,
            start_sent_at: now,
            estimate_ms,
            stopping: false,
            is_suspect,
        };
        worker.runs.insert(run, open);
        let frame = EntryFrame::Start(order);
        self.actions.push(DispatchAction::Send { link, frame });
    }
}

/// Free capacity of a worker that accepts tasks of this step and has enough for one.
pub(super) fn free_capacity_for(
    now: Instant,
    worker: &WorkerLink,
    job: &Job,
    step: &StepSpec,
    zones: Option<&EvacuatedZones>,
) -> Option<Resources> {
    worker.usable_view(now, job, step, zones)?;
    let is_below_limit = worker.runs.len() < usize::from(worker.health.max_tasks(now));
    let accepts_tasks = is_below_limit && now >= worker.paused_until;
    let free = worker.free_capacity();
    (accepts_tasks && step.needs.fits(free)).then_some(free)
}

/// Weight of a worker for a task.
///
/// Entries choose among the same workers by reports that are some milliseconds old. If all of them
/// took the emptiest worker, it would reject most of their start orders; a weighted random choice
/// spreads the orders. Due to the square, an empty worker is four times as likely as one that is
/// half full.
fn weight(worker: &WorkerLink, free: Resources, step: &StepSpec, is_risky: bool) -> f64 {
    let risk_factor = if is_risky { AVOID_FACTOR } else { 1.0 };
    let weight = (worker.free_share(free) / worker.slowness).powi(2);
    weight.max(MIN_WEIGHT) * data_rack_factor(worker, step) * risk_factor
}

/// Weight factor of a worker by whether it is in the rack that holds the task's data.
pub(super) fn data_rack_factor(worker: &WorkerLink, step: &StepSpec) -> f64 {
    if step.data_rack.is_some() && !worker.is_remote_to_data(step) {
        DATA_RACK_FACTOR
    } else {
        1.0
    }
}

/// Whether the task should avoid this worker: its latest run failed, was stopped or lost, or was
/// rejected there, or it has failed before and the worker is not healthy.
///
/// Otherwise a few failing workers could use up all attempts of a task, although most workers are
/// healthy.
fn is_risky(key: WorkerKey, worker: &WorkerLink, task: &Task) -> bool {
    task.avoid == Some(key) || (task.failed_runs > 0 && !worker.health.is_healthy())
}

/// Whether the worker already runs the maximum number of the step's tasks.
fn is_at_task_limit(worker: &WorkerLink, job: &Job, task: &Task, step: &StepSpec) -> bool {
    if step.max_per_worker == 0 {
        return false;
    }
    let of_step = worker
        .runs
        .keys()
        .filter(|run| run.task.job == job.id && run.task.step == task.step);
    of_step.count() >= usize::from(step.max_per_worker)
}
