//! Which task starts next, and where.

use {
    super::{
        DispatchAction, Dispatcher,
        dispatch_event::Zones,
        job::{Job, Task, TaskState},
        queue::Waiting,
        worker_link::{OpenRun, WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{EntryFrame, StartOrder},
        time::Instant,
        work::{Needs, StepSpec},
    },
};

/// Waiting tasks for which no worker has room before the others are left for the next event.
///
/// Tasks of one service are much alike, so the next ones fit nowhere either; looking at all of them
/// at each event would take more processor time than the entry has.
const MISSES: usize = 24;
/// Worth of a worker in the rack of the task's data, in shares of its room.
const DATA_RACK_BONUS: f64 = 10.0;
/// Cost of a worker where the task's last run ended badly, in shares of its room.
const AVOID_MALUS: f64 = 5.0;

impl Dispatcher {
    /// Hands waiting tasks to workers with room.
    pub(super) fn place_tasks(&mut self, now: Instant) {
        let mut misses = 0;
        for waiting in self.queue.in_order() {
            if misses >= MISSES {
                return;
            }
            if !waiting.holds(now) {
                self.requeue(now, waiting);
                continue;
            }
            if !self.place(now, &waiting) {
                misses += 1;
            }
        }
    }

    /// Puts a task whose prospect has passed where it now belongs, or gives its job up.
    fn requeue(&mut self, now: Instant, waiting: Waiting) {
        if self.jobs.get(waiting.job).is_none_or(|job| job.closed) {
            self.queue.remove(&waiting);
            return;
        }
        self.queue.remove(&waiting);
        self.enqueue(now, waiting.job, waiting.task);
    }

    /// Orders a task at the best worker that has room for it; whether there is one.
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
        let Some(worker) = self.best_worker(now, job, task, step) else {
            return false;
        };
        self.queue.remove(waiting);
        self.order(now, waiting, worker);
        true
    }

    fn best_worker(
        &self,
        now: Instant,
        job: &Job,
        task: &Task,
        step: &StepSpec,
    ) -> Option<WorkerKey> {
        let none = Zones::new();
        let evacuated = self.news.as_ref().map_or(&none, |news| &news.evacuated);
        let mut best: Option<(f64, WorkerKey)> = None;
        for (key, worker) in &self.workers {
            if !is_usable(now, worker, job, step, evacuated) {
                continue;
            }
            let room = worker.free();
            if !step.needs.fits(room) || is_crowded(worker, job, task, step) {
                continue;
            }
            let rank = rank(worker, room, step, task.avoid == Some(key));
            if best.is_none_or(|(known, _)| rank > known) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
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
            .map_or((Needs::default(), 0), |step| (step.needs, step.estimate_ms));
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

/// Whether the worker may be given tasks of this step at all.
fn is_usable(
    now: Instant,
    worker: &WorkerLink,
    job: &Job,
    step: &StepSpec,
    evacuated: &Zones,
) -> bool {
    let Some(view) = &worker.view else {
        return false;
    };
    let has_label = |label: &String| view.labels.contains(label);
    worker.link.is_some()
        && !view.draining
        && view.service == job.route.service
        && !evacuated.contains(&view.availability_zone)
        && now >= worker.paused_until
        && step.required_label.as_ref().is_none_or(has_label)
        && worker.runs.len() < usize::from(worker.health.most_tasks(now))
}

/// How good the worker is for the task: the share of its room that is free, less where it is slow.
///
/// The emptiest worker first keeps entries apart that choose at the same time: their figures are some
/// milliseconds old, and only a worker that is nearly full turns orders away.
fn rank(worker: &WorkerLink, room: Needs, step: &StepSpec, avoid: bool) -> f64 {
    let capacity = worker
        .view
        .as_ref()
        .map_or(1, |view| view.capacity.cpu_milli.max(1));
    let share = f64::from(room.cpu_milli) / f64::from(capacity);
    let near = step.data_rack.as_ref().is_some_and(|rack| {
        worker
            .view
            .as_ref()
            .is_some_and(|view| view.labels.contains(rack))
    });
    let bonus = if near { DATA_RACK_BONUS } else { 0.0 };
    let malus = if avoid { AVOID_MALUS } else { 0.0 };
    share / worker.slowness + bonus - malus
}

/// Whether the worker has as many tasks of the step as it may.
fn is_crowded(worker: &WorkerLink, job: &Job, task: &Task, step: &StepSpec) -> bool {
    if step.most_per_worker == 0 {
        return false;
    }
    let of_step = worker
        .runs
        .keys()
        .filter(|run| run.task.job == job.id && run.task.step == task.step);
    of_step.count() >= usize::from(step.most_per_worker)
}
