//! Which task starts next, and where.

use {
    super::{
        DispatchAction, Dispatcher,
        choice::Choice,
        job::{Job, JobKey, Task, TaskState},
        queue::Waiting,
        worker_link::{OpenRun, WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{EntryFrame, EvacuatedZones, StartOrder},
        time::Instant,
        work::{Resources, StepSpec},
    },
    std::mem,
};

/// Waiting tasks for which no worker has room before the others are left for the next event.
///
/// Tasks of one service are much alike, so the next ones fit nowhere either; looking at all of them
/// at each event would take more processor time than the entry has.
const MISSES: usize = 24;
/// Factor for a worker in the rack of the task's data: any other takes half as long again, or twice.
const DATA_RACK_BONUS: f64 = 1e6;
/// Factor for a worker where the task is likely to fail: only if there is no other.
const AVOID_MALUS: f64 = 1e-6;
/// Least weight, for workers without a processor's share left and tasks that need none.
const LEAST_WEIGHT: f64 = 1e-4;

impl Dispatcher {
    /// Hands waiting tasks to workers with room.
    pub(super) fn place_tasks(&mut self, now: Instant) {
        let mut misses = 0;
        let mut looked_at = None;
        while misses < MISSES
            && let Some(waiting) = self.queue.after(looked_at.as_ref())
        {
            looked_at = Some(waiting);
            if !waiting.holds(now) {
                self.requeue(now, waiting);
                continue;
            }
            if !self.place(now, &waiting) {
                misses += 1;
            }
        }
    }

    /// Tells agents whose offers of room were not taken up.
    pub(super) fn decline_offers(&mut self) {
        for key in mem::take(&mut self.told_room) {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            if let Some(link) = worker.link
                && worker.declines()
            {
                let frame = EntryFrame::Decline;
                self.actions.push(DispatchAction::Send { link, frame });
            }
        }
    }

    /// Orders a task at a worker that has room for it; whether there is one.
    fn place(&mut self, now: Instant, waiting: &Waiting) -> bool {
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
        let mut choice = Choice::new(&mut self.rng);
        for (key, worker) in &self.workers {
            if let Some(free) = free_for(now, worker, job, step, self.news.as_ref())
                && worker.may_order(step.needs)
                && !is_crowded(worker, job, task, step)
            {
                choice.offer(key, weight(worker, free, step, is_risky(key, worker, task)));
            }
        }
        let Some(worker) = choice.made() else {
            return false;
        };
        self.queue.remove(waiting);
        self.order(now, waiting, worker);
        if waiting.untouched {
            self.place_rest(now, waiting.job);
        }
        true
    }

    /// Goes on with a job of which the first task has just been ordered; what finds no room goes before
    /// jobs that have not begun.
    fn place_rest(&mut self, now: Instant, key: JobKey) {
        for waiting in self.queue.take_job(key) {
            self.enqueue(now, key, waiting.task);
        }
        let mut has_room = true;
        while has_room && let Some(waiting) = self.queue.first_of(key) {
            has_room = self.place(now, &waiting);
        }
    }

    fn order(&mut self, now: Instant, waiting: &Waiting, key: WorkerKey) {
        let (Some(job), Some(worker)) = (self.jobs.get_mut(waiting.job), self.workers.get_mut(key))
        else {
            return;
        };
        let Some(link) = worker.link else {
            return;
        };
        let (needs, estimate_ms) = job
            .step(waiting.task)
            .map_or((Resources::default(), 0), |step| {
                (step.needs, step.estimate_ms)
            });
        let Some(task) = job.tasks.get_mut(waiting.task) else {
            return;
        };
        task.state = TaskState::Started;
        task.last_run += 1;
        let task = *task;
        let run = job.run_id(&task);
        job.open_runs += 1;
        job.starts += 1;
        job.last_start = now;
        let order = StartOrder {
            run,
            spec: job.request.spec.clone(),
            needs,
            time_left_ms: job.deadline.millis_since(now),
        };
        worker.note_start(needs);
        let open = OpenRun {
            job: waiting.job,
            task: waiting.task,
            ordered_at: now,
            estimate_ms,
            stopping: false,
        };
        worker.runs.insert(run, open);
        let frame = EntryFrame::Start(order);
        self.actions.push(DispatchAction::Send { link, frame });
    }
}

/// What is free at a worker that may be given tasks of this step and has room for one.
pub(super) fn free_for(
    now: Instant,
    worker: &WorkerLink,
    job: &Job,
    step: &StepSpec,
    news: Option<&EvacuatedZones>,
) -> Option<Resources> {
    worker.usable_view(now, job, step, news)?;
    let is_trusted = worker.runs.len() < usize::from(worker.health.most_tasks(now));
    let is_open = is_trusted && now >= worker.paused_until;
    let free = worker.free();
    (is_open && step.needs.fits(free)).then_some(free)
}

/// How good the worker is for the task, as the weight of a draw.
///
/// Load that this answers: several entries that choose among the same workers by figures some milliseconds old.
/// Were the emptiest worker always taken, all of them would take the same one, and it would turn
/// most of their orders away. A draw spreads them over what is free; the square makes an empty
/// worker four times as likely as one that is half full.
fn weight(worker: &WorkerLink, free: Resources, step: &StepSpec, is_risky: bool) -> f64 {
    let capacity = worker
        .view
        .as_ref()
        .map_or(1, |view| view.capacity.cpu_milli.max(1));
    let share = f64::from(free.cpu_milli) / f64::from(capacity);
    let near = step.data_rack.as_ref().is_some_and(|rack| {
        worker
            .view
            .as_ref()
            .is_some_and(|view| view.labels.contains(rack))
    });
    let bonus = if near { DATA_RACK_BONUS } else { 1.0 };
    let malus = if is_risky { AVOID_MALUS } else { 1.0 };
    (share / worker.slowness).powi(2).max(LEAST_WEIGHT) * bonus * malus
}

/// Whether the task had better go to another worker: its last run ended badly there, or it has failed before and so have others there.
///
/// Guards against jobs that fail although most workers are sound: of several that fail what they start, one would get the
/// task's first run and another one its last.
fn is_risky(key: WorkerKey, worker: &WorkerLink, task: &Task) -> bool {
    task.avoid == Some(key) || (task.failed_runs > 0 && !worker.health.is_healthy())
}

/// Whether the worker has as many tasks of the step as it may.
fn is_crowded(worker: &WorkerLink, job: &Job, task: &Task, step: &StepSpec) -> bool {
    if step.max_per_worker == 0 {
        return false;
    }
    let of_step = worker
        .runs
        .keys()
        .filter(|run| run.task.job == job.id && run.task.step == task.step);
    of_step.count() >= usize::from(step.max_per_worker)
}
