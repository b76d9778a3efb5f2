//! What the end of a run leads to.

use {
    super::{
        Answer, DispatchNote, Dispatcher,
        job::{Job, JobKey, TaskState},
        worker_link::{OpenRun, WorkerKey},
    },
    crate::core::{
        ejection::TaskEnd,
        link::{NotStartedReason, RunEnd},
        time::Instant,
        work::RunId,
    },
};

/// Pause before a task is ordered again at a worker where another run of it is not over, in
/// milliseconds: a stop takes up to 50.
const BUSY_PAUSE_MS: u64 = 60;
/// Pause before a worker is given anything after it rejected an order, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 150;
/// A run of this many times its estimate, and of [`SLOW_LEAST_MS`] more, counts as slow.
///
/// Estimates are off by up to a factor of two; a slow worker takes four times as long or more.
const SLOW_TIMES: u64 = 3;
/// Least time beyond the estimate that counts as slow, in milliseconds: less is noise.
const SLOW_LEAST_MS: u64 = 100;

impl Dispatcher {
    pub(super) fn on_ended(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        run: RunId,
        end: RunEnd,
        ran_ms: u64,
    ) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(open) = link.runs.remove(&run) else {
            return;
        };
        let wanted = !open.stopping;
        if end != RunEnd::Done && wanted {
            let note = DispatchNote::RunLost {
                job: run.task.job.to_string(),
                run: run.to_string(),
                agent: link.agent.clone(),
                end: end.as_str(),
                after_ms: now.millis_since(open.ordered_at),
                heard_ms_ago: now.millis_since(link.heard_at),
            };
            self.note(note);
        }
        self.learn(now, worker, &open, end, ran_ms);
        self.settle(now, worker, open, end);
    }

    /// Learns from an end what it says about the worker.
    fn learn(&mut self, now: Instant, worker: WorkerKey, open: &OpenRun, end: RunEnd, ran_ms: u64) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if end == RunEnd::Done {
            link.note_run(ran_ms, open.estimate_ms);
        }
        match end {
            RunEnd::NotStarted(NotStartedReason::NoRoom) => link.note_no_room(),
            RunEnd::NotStarted(NotStartedReason::TaskBusy) => {}
            RunEnd::NotStarted(_) => link.paused_until = now.plus_ms(REJECTED_PAUSE_MS),
            RunEnd::Done | RunEnd::Failed | RunEnd::Stopped | RunEnd::Lost => {}
        }
        let Some(seen) = task_end(open, end, ran_ms) else {
            return;
        };
        if seen == TaskEnd::Good || self.most_others_are_sound(worker) {
            self.note_health(now, worker, seen);
        }
    }

    fn note_health(&mut self, now: Instant, worker: WorkerKey, seen: TaskEnd) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(reason) = link.health.note(now, seen) {
            let agent = link.agent.clone();
            let reason = reason.as_str();
            self.note(DispatchNote::WorkerEjected { agent, reason });
        }
    }

    /// Whether most other workers end tasks well; if not, the tasks or something shared are at fault, and no worker
    /// is left alone.
    fn most_others_are_sound(&self, worker: WorkerKey) -> bool {
        let others = self.workers.iter().filter(|(key, _)| *key != worker);
        let (others, sound) = others.fold((0, 0), |(others, sound), (_, other)| {
            (others + 1, sound + usize::from(other.health.is_sound()))
        });
        sound * 2 > others
    }

    fn settle(&mut self, now: Instant, worker: WorkerKey, open: OpenRun, end: RunEnd) {
        let Some(job) = self.jobs.get_mut(open.job) else {
            return;
        };
        job.open_runs -= 1;
        if !matches!(end, RunEnd::NotStarted(_)) {
            job.may_have_run = true;
        }
        if job.closed {
            self.release_held(now, open.job);
            return;
        }
        let max_attempts = job.route.max_attempts;
        let Some(task) = job.tasks.get_mut(open.task) else {
            return;
        };
        match end {
            RunEnd::Done => {
                task.state = TaskState::Done;
                job.left -= 1;
                self.on_task_done(now, open.job);
                return;
            }
            RunEnd::Failed => {
                task.failed_runs += 1;
                task.avoid = Some(worker);
            }
            RunEnd::NotStarted(NotStartedReason::TaskBusy) => {
                task.not_before = now.plus_ms(BUSY_PAUSE_MS);
            }
            RunEnd::NotStarted(NotStartedReason::NoRoom) => {}
            RunEnd::NotStarted(_) | RunEnd::Stopped | RunEnd::Lost => task.avoid = Some(worker),
        }
        task.state = TaskState::Waiting;
        if task.failed_runs >= max_attempts {
            self.answer(now, open.job, Answer::Failed);
            return;
        }
        self.enqueue(now, open.job, open.task);
    }

    fn on_task_done(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.left == 0 {
            self.answer(now, key, Answer::Completed);
            return;
        }
        for task in Job::unblock(job) {
            self.enqueue(now, key, task);
        }
    }
}

/// What a run's end says about its worker, if it says anything.
fn task_end(open: &OpenRun, end: RunEnd, ran_ms: u64) -> Option<TaskEnd> {
    let slow_ms = (open.estimate_ms * SLOW_TIMES).max(open.estimate_ms + SLOW_LEAST_MS);
    match end {
        RunEnd::Done if ran_ms > slow_ms => Some(TaskEnd::Slow),
        RunEnd::Done => Some(TaskEnd::Good),
        RunEnd::Failed | RunEnd::NotStarted(NotStartedReason::Unhealthy) => Some(TaskEnd::Failed),
        RunEnd::Stopped if ran_ms > slow_ms => Some(TaskEnd::Slow),
        RunEnd::Stopped | RunEnd::Lost | RunEnd::NotStarted(_) => None,
    }
}
