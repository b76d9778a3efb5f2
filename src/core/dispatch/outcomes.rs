//! Applies the outcomes of runs to jobs and workers.

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

/// Delay before the next start of a task that still runs on the chosen worker, in milliseconds;
/// longer than a stop usually takes.
const BUSY_BACKOFF_MS: u64 = 60;
/// Delay before the next start order to a worker that rejected one, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 150;
/// A run is slow after this many times its estimate, and at least [`MIN_SLOW_EXCESS_MS`] beyond it.
///
/// Estimates are off by up to a factor of two; on a slow worker, runs take four times as long or
/// more.
const SLOW_FACTOR: u64 = 3;
/// Minimum time beyond the estimate after which a run is slow, in milliseconds; shorter excesses
/// are noise.
const MIN_SLOW_EXCESS_MS: u64 = 100;

/// What the end of a run follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndSource {
    /// The agent reported it.
    Agent,
    /// The hello of a new session: the agent has no run of this entry.
    NewSession,
    /// The time limit of a lost session has passed.
    LimitsExpired,
}

impl EndSource {
    /// Name for logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::NewSession => "new_session",
            Self::LimitsExpired => "limits_expired",
        }
    }
}

/// End of a run, and what it follows from.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunEnd {
    pub(super) outcome: RunOutcome,
    pub(super) ran_ms: u64,
    pub(super) source: EndSource,
}

impl Dispatcher {
    pub(super) fn on_run_ended(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        run: RunId,
        end: RunEnd,
    ) {
        let RunEnd {
            outcome, ran_ms, ..
        } = end;
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(open) = link.runs.remove(&run) else {
            return;
        };
        let is_wanted = !open.stopping;
        if outcome != RunOutcome::Done && is_wanted {
            let event = DispatchLogEvent::RunLost {
                job: run.task.job.to_string(),
                run: run.to_string(),
                agent: link.agent.clone(),
                end: outcome.as_str(),
                source: end.source.as_str(),
                after_ms: now.millis_since(open.start_sent_at),
                heard_ms_ago: now.millis_since(link.last_heard_at),
            };
            self.log_event(event);
        }
        self.update_worker_stats(now, worker, &open, outcome, ran_ms);
        self.record_run_cost(now, &open, outcome, ran_ms);
        self.apply_outcome(now, worker, open, end);
    }

    /// Updates the worker's speed, capacity and health.
    fn update_worker_stats(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        open: &OpenRun,
        outcome: RunOutcome,
        ran_ms: u64,
    ) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        let slow_ms = slow_after_ms(open, link.overdue_factor());
        match outcome {
            RunOutcome::NotStarted(NotStartedReason::NoRoom) => link.record_no_room(),
            RunOutcome::NotStarted(
                NotStartedReason::TaskBusy
                | NotStartedReason::NameInUse
                | NotStartedReason::SuspectBusy,
            ) => {}
            RunOutcome::NotStarted(_) => link.paused_until = now.plus_ms(REJECTED_BACKOFF_MS),
            RunOutcome::Done | RunOutcome::Failed | RunOutcome::Stopped | RunOutcome::Lost => {}
        }
        let Some(sample) = health_sample(outcome, ran_ms > slow_ms) else {
            return;
        };
        if sample == HealthSample::Success || self.most_others_are_healthy(worker) {
            self.record_health(now, worker, sample);
        }
    }

    fn record_health(&mut self, now: Instant, worker: WorkerKey, sample: HealthSample) {
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(reason) = link.health.record(now, sample) {
            let agent = link.agent.clone();
            let reason = reason.as_str();
            self.log_event(DispatchLogEvent::WorkerEjected { agent, reason });
        }
    }

    /// Whether most other workers are healthy. If not, the tasks or a shared dependency are at
    /// fault, and no worker is ejected.
    fn most_others_are_healthy(&self, worker: WorkerKey) -> bool {
        let others = self.workers.iter().filter(|(key, _)| *key != worker);
        let (others, healthy) = others.fold((0, 0), |(others, healthy), (_, other)| {
            (others + 1, healthy + usize::from(other.health.is_healthy()))
        });
        healthy * 2 > others
    }

    fn apply_outcome(&mut self, now: Instant, worker: WorkerKey, open: OpenRun, end: RunEnd) {
        let RunEnd {
            outcome, source, ..
        } = end;
        let Some(job) = self.jobs.get_mut(open.job) else {
            return;
        };
        job.open_runs -= 1;
        if !matches!(outcome, RunOutcome::NotStarted(_)) {
            job.may_have_run = true;
        }
        if job.closed {
            self.release_held_copies(now, open.job);
            return;
        }
        let max_attempts = job.route.max_attempts;
        let Some(task) = job.tasks.get_mut(open.task) else {
            return;
        };
        if outcome == RunOutcome::NotStarted(NotStartedReason::TaskBusy) {
            task.busy_at = Some((worker, now));
        } else if source == EndSource::Agent && !precedes_busy_check(outcome) {
            task.busy_at = None;
        }
        match outcome {
            RunOutcome::Done => {
                task.state = TaskState::Done;
                job.remaining_tasks -= 1;
                let task = *task;
                self.crashes.clear(job.run_id(&task).task);
                self.on_task_done(now, open.job);
                return;
            }
            RunOutcome::Failed => {
                task.failed_runs += 1;
                task.avoid = Some(worker);
            }
            RunOutcome::NotStarted(NotStartedReason::TaskBusy | NotStartedReason::SuspectBusy) => {
                task.not_before = now.plus_ms(BUSY_BACKOFF_MS);
            }
            RunOutcome::NotStarted(NotStartedReason::NameInUse) => {
                task.avoid = Some(worker);
                task.not_before = now.plus_ms(BUSY_BACKOFF_MS);
            }
            RunOutcome::NotStarted(NotStartedReason::NoRoom) => {}
            RunOutcome::Lost => {
                task.lost_runs += 1;
                task.avoid = Some(worker);
            }
            RunOutcome::NotStarted(_) | RunOutcome::Stopped => task.avoid = Some(worker),
        }
        task.state = TaskState::Waiting;
        let lost_runs = task.lost_runs;
        if task.failed_runs >= max_attempts {
            self.finish_job(now, open.job, JobOutcome::Failed);
            return;
        }
        if self.give_up_if_lost(now, open.job, lost_runs) {
            return;
        }
        self.enqueue(now, open.job, open.task);
    }

    fn on_task_done(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.remaining_tasks == 0 {
            self.finish_job(now, key, JobOutcome::Completed);
            return;
        }
        for task in Job::unblock(job) {
            self.enqueue(now, key, task);
        }
    }
}

/// Time after which a run is slow, in milliseconds.
///
/// It follows the worker's known slowness like the limit of overdue runs: placement already accounts
/// for that, and an ejected worker would get no tasks that show its recovery.
fn slow_after_ms(open: &OpenRun, overdue_factor: f64) -> u64 {
    let estimate_ms = (open.estimate_ms as f64 * overdue_factor) as u64;
    (estimate_ms * SLOW_FACTOR).max(estimate_ms + MIN_SLOW_EXCESS_MS)
}

/// Whether an agent rejects a start for this reason before it looks for an unfinished run of the task.
const fn precedes_busy_check(outcome: RunOutcome) -> bool {
    matches!(
        outcome,
        RunOutcome::NotStarted(
            NotStartedReason::NoWorker
                | NotStartedReason::Unresponsive
                | NotStartedReason::RightLapsed
                | NotStartedReason::Draining
                | NotStartedReason::Evacuated
        )
    )
}

/// What the outcome of a run says about its worker; `None` if nothing.
fn health_sample(outcome: RunOutcome, is_slow: bool) -> Option<HealthSample> {
    match outcome {
        RunOutcome::Done if is_slow => Some(HealthSample::Slow),
        RunOutcome::Done => Some(HealthSample::Success),
        RunOutcome::Failed | RunOutcome::NotStarted(NotStartedReason::Unhealthy) => {
            Some(HealthSample::Failed)
        }
        RunOutcome::Stopped if is_slow => Some(HealthSample::Slow),
        RunOutcome::Stopped | RunOutcome::Lost | RunOutcome::NotStarted(_) => None,
    }
}
