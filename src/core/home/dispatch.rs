//! Which task starts next, and where.

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

/// When to come back after a job was given up in the queue, in milliseconds.
const TOO_LATE_RETRY_AFTER_MS: u64 = 500;
/// Jobs that can't be placed which one event looks at.
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

    /// Starts what can be started, and asks for slots for the rest.
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
    /// Only so many jobs that can't be placed are looked at, so that an event costs the same
    /// however many jobs wait.
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

    /// Whether none of a job's tasks has started and there is no time left to run one.
    ///
    /// Guards against work for nothing: a job admitted in hope of a shorter wait would hold slots
    /// until its deadline, and its client gives it up then. It is told so now.
    fn is_too_late(&self, now: Instant, key: JobKey) -> bool {
        self.running_job(key).is_some_and(|job| {
            let left_ms = job.deadline.millis_since(now);
            let run_ms = self.run_times.quantile_ms(&job.spec.service, 0.5);
            job.queued.len() == job.tasks.len() && run_ms.is_some_and(|run_ms| left_ms < run_ms)
        })
    }

    /// Starts what it can of one job; true if tasks are left in its queue.
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
