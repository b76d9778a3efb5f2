//! What the end of a run leads to.

use {
    super::{
        DispatchLogEvent, Dispatcher, JobOutcome,
        job::{Job, JobKey, TaskState},
        worker_link::{OpenRun, WorkerKey},
    },
    crate::core::{
        ejection::HealthSample,
        link::{NotStartedReason, RunOutcome},
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
        end: RunOutcome,
        ran_ms: u64,
    ) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(open) = link.runs.remove(&run) else {
            return;
        };
        let wanted = !open.stopping;
        if end != RunOutcome::Done && wanted {
            let note = DispatchLogEvent::RunLost {
                job: run.task.job.to_string(),
                run: run.to_string(),
                agent: link.agent.clone(),
                end: end.as_str(),
                after_ms: now.millis_since(open.ordered_at),
                heard_ms_ago: now.millis_since(link.heard_at),
            };
            self.log_event(note);
        }
        self.learn(now, worker, &open, end, ran_ms);
        self.settle(now, worker, open, end);
    }

    /// Learns from an end what it says about the worker.
    fn learn(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        open: &OpenRun,
        end: RunOutcome,
        ran_ms: u64,
    ) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if end == RunOutcome::Done {
            link.note_run(ran_ms, open.estimate_ms);
        }
        match end {
            RunOutcome::NotStarted(NotStartedReason::NoRoom) => link.note_no_room(),
            RunOutcome::NotStarted(NotStartedReason::TaskBusy) => {}
            RunOutcome::NotStarted(_) => link.paused_until = now.plus_ms(REJECTED_PAUSE_MS),
            RunOutcome::Done | RunOutcome::Failed | RunOutcome::Stopped | RunOutcome::Lost => {}
        }
        let Some(seen) = task_end(open, end, ran_ms) else {
            return;
        };
        if seen == HealthSample::Success || self.most_others_are_sound(worker) {
            self.note_health(now, worker, seen);
        }
    }

    fn note_health(&mut self, now: Instant, worker: WorkerKey, seen: HealthSample) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(reason) = link.health.record(now, seen) {
            let agent = link.agent.clone();
            let reason = reason.as_str();
            self.log_event(DispatchLogEvent::WorkerEjected { agent, reason });
        }
    }

    /// Whether most other workers end tasks well; if not, the tasks or something shared are at fault, and no worker
    /// is left alone.
    fn most_others_are_sound(&self, worker: WorkerKey) -> bool {
        let others = self.workers.iter().filter(|(key, _)| *key != worker);
        let (others, sound) = others.fold((0, 0), |(others, sound), (_, other)| {
            (others + 1, sound + usize::from(other.health.is_healthy()))
        });
        sound * 2 > others
    }

    fn settle(&mut self, now: Instant, worker: WorkerKey, open: OpenRun, end: RunOutcome) {
        let Some(job) = self.jobs.get_mut(open.job) else {
            return;
        };
        job.open_runs -= 1;
        if !matches!(end, RunOutcome::NotStarted(_)) {
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
            RunOutcome::Done => {
                task.state = TaskState::Done;
                job.left -= 1;
                self.on_task_done(now, open.job);
                return;
            }
            RunOutcome::Failed => {
                task.failed_runs += 1;
                task.avoid = Some(worker);
            }
            RunOutcome::NotStarted(NotStartedReason::TaskBusy) => {
                task.not_before = now.plus_ms(BUSY_PAUSE_MS);
            }
            RunOutcome::NotStarted(NotStartedReason::NoRoom) => {}
            RunOutcome::NotStarted(_) | RunOutcome::Stopped | RunOutcome::Lost => {
                task.avoid = Some(worker)
            }
        }
        task.state = TaskState::Waiting;
        if task.failed_runs >= max_attempts {
            self.answer(now, open.job, JobOutcome::Failed);
            return;
        }
        self.enqueue(now, open.job, open.task);
    }

    fn on_task_done(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.left == 0 {
            self.answer(now, key, JobOutcome::Completed);
            return;
        }
        for task in Job::unblock(job) {
            self.enqueue(now, key, task);
        }
    }
}

/// What a run's end says about its worker, if it says anything.
fn task_end(open: &OpenRun, end: RunOutcome, ran_ms: u64) -> Option<HealthSample> {
    let slow_ms = (open.estimate_ms * SLOW_TIMES).max(open.estimate_ms + SLOW_LEAST_MS);
    match end {
        RunOutcome::Done if ran_ms > slow_ms => Some(HealthSample::Slow),
        RunOutcome::Done => Some(HealthSample::Success),
        RunOutcome::Failed | RunOutcome::NotStarted(NotStartedReason::Unhealthy) => {
            Some(HealthSample::Failed)
        }
        RunOutcome::Stopped if ran_ms > slow_ms => Some(HealthSample::Slow),
        RunOutcome::Stopped | RunOutcome::Lost | RunOutcome::NotStarted(_) => None,
    }
}
