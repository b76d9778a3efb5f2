//! Selection of the next task and its runner.

use {
    super::{
        Home, HomeAction,
        job_record::{JobRecord, JobState, TaskState},
        ticket_registry::JobKey,
    },
    crate::core::{
        job::TaskRef,
        message::HomeFrame,
        ticket::AgentId,
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason},
    },
};

/// Retry delay sent with a job that was dropped from the queue, in milliseconds.
const TOO_LATE_RETRY_AFTER_MS: u64 = 500;
/// Maximum number of unplaceable jobs examined per event.
const MAX_UNPLACED_JOBS: usize = 8;

impl Home {
    /// Opens sessions to runners that jobs could use or that hold tasks.
    pub(super) fn open_sessions(&mut self, now: Instant) {
        for (runner, link) in &mut self.links {
            if !link.is_session_wanted(now) {
                continue;
            }
            if let Some(epoch) = link.next_epoch(now, &mut self.last_epoch) {
                self.actions.push(HomeAction::OpenSession {
                    runner: *runner,
                    peer_addr: link.peer_addr,
                    epoch,
                });
            }
        }
    }

    /// Starts the tasks that can be placed, and updates the demands for the rest.
    pub(super) fn place_tasks(&mut self, now: Instant) {
        let first_action = self.actions.len();
        self.dispatch(now);
        let starts = self.actions[first_action..]
            .iter()
            .filter(|action| action.is_start())
            .count();
        let waiting = self.update_demands(now);
        self.admission.record_starts(now, starts, waiting);
    }

    /// Starts queued tasks, oldest job first, while placement finds runners for them.
    ///
    /// At most [`MAX_UNPLACED_JOBS`] jobs that can't be placed are examined, so the cost of an
    /// event doesn't depend on the length of the queue.
    pub(super) fn dispatch(&mut self, now: Instant) {
        let mut unplaced = Vec::new();
        while unplaced.len() < MAX_UNPLACED_JOBS
            && let Some(key) = self.waiting.pop_front()
        {
            if self.dispatch_job(now, key) {
                unplaced.push(key);
            }
        }
        for key in unplaced.into_iter().rev() {
            self.waiting.push_front(key);
        }
    }

    /// Whether no task of the job has started and too little time is left to run one.
    ///
    /// Such a job would occupy slots until its deadline for a result that the client no longer
    /// waits for; it fails now instead.
    fn is_too_late(&self, now: Instant, key: JobKey) -> bool {
        self.running_job(key).is_some_and(|job| {
            let left_ms = job.deadline.millis_since(now);
            let run_ms = self.run_times.quantile_ms(&job.spec.service, 0.5);
            job.queued.len() == job.tasks.len() && run_ms.is_some_and(|run_ms| left_ms < run_ms)
        })
    }

    /// Starts the tasks of one job that can be placed; true if some stay queued.
    fn dispatch_job(&mut self, now: Instant, key: JobKey) -> bool {
        if self.is_too_late(now, key) {
            let fail_reasons = (NotRunReason::Overloaded, MayHaveRunReason::DeadlinePassed);
            self.fail_job(key, fail_reasons.0, fail_reasons.1, TOO_LATE_RETRY_AFTER_MS);
            return false;
        }
        let Some(JobRecord {
            ticket,
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return false;
        };
        while let Some(&index) = job.queued.front() {
            let usable: Vec<AgentId> = job
                .candidates
                .iter()
                .filter(|runner| {
                    self.links
                        .get(runner)
                        .is_some_and(|link| link.is_usable(now))
                })
                .copied()
                .collect();
            let views: Vec<_> = usable
                .iter()
                .filter_map(|runner| self.links.get(runner).map(|link| link.view(now)))
                .collect();
            let Some(position) = self.placement.choose(now, &views) else {
                return true;
            };
            let runner = usable[position];
            let task = TaskRef {
                ticket: *ticket,
                index,
            };
            let (Some(frame), Some(link)) =
                (job.start_frame(now, task), self.links.get_mut(&runner))
            else {
                return true;
            };
            job.queued.pop_front();
            job.tasks[usize::from(index)] = TaskState::Started { runner };
            let attempts = &mut job.attempts[usize::from(index)];
            *attempts = attempts.saturating_add(1);
            link.record_start(now, task);
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Start(frame),
            });
        }
        false
    }
}
