//! Outcomes of tasks and jobs.

use {
    super::{
        Home, HomeAction,
        home::Timer,
        job_record::{JobRecord, JobState, TaskState},
        ticket_registry::JobKey,
    },
    crate::core::{
        job::{JobAnswer, JobStatus, TaskOutcome, TaskRef},
        message::HomeFrame,
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
    std::sync::Arc,
};

/// Maximum number of attempts per task, not counting those refused for full slots.
const MAX_ATTEMPTS: u8 = 8;
/// Minimum time after a job's first refusal before it may fail, in milliseconds; as long as a
/// permit, so that every runner that may start tasks has renewed its own.
const REFUSAL_TIMEOUT_MS: u64 = 3_000;
/// Retry delay sent with a job that no runner accepted, in milliseconds.
const REFUSED_RETRY_AFTER_MS: u64 = 1_000;

impl Home {
    /// Applies the outcome of one attempt: retries the task, ends it, or fails the job.
    pub(super) fn apply_outcome(
        &mut self,
        now: Instant,
        key: JobKey,
        index: u16,
        outcome: TaskOutcome,
    ) {
        let Some(JobRecord {
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return;
        };
        let attempts = job.attempts[usize::from(index)];
        let retry = match &outcome {
            TaskOutcome::NotRun {
                reason: NotRunReason::SlotsFull,
            } => Some(NotRunReason::SlotsFull.as_str()),
            TaskOutcome::NotRun { reason }
                if attempts < MAX_ATTEMPTS || !job.refused_for(now, REFUSAL_TIMEOUT_MS) =>
            {
                Some(reason.as_str())
            }
            TaskOutcome::MayHaveRun { reason }
                if job.spec.repeatable && attempts < MAX_ATTEMPTS =>
            {
                Some(reason.as_str())
            }
            _ => None,
        };
        if let Some(reason) = retry {
            let was_queued = !job.queued.is_empty();
            if reason == NotRunReason::SlotsFull.as_str() {
                // Full slots say nothing about the task, so the attempt doesn't count.
                job.attempts[usize::from(index)] = attempts.saturating_sub(1);
            } else {
                job.refused_since.get_or_insert(now);
            }
            job.requeue(index, &outcome);
            if !was_queued {
                self.waiting.push_front(key);
            }
            self.actions.push(HomeAction::CountRetry(reason));
            return;
        }
        let failed = !matches!(outcome, TaskOutcome::Done { .. });
        let retry_after_ms = match outcome {
            TaskOutcome::NotRun { .. } => REFUSED_RETRY_AFTER_MS,
            _ => 0,
        };
        if !job.end_task(index, outcome) {
            return;
        }
        if failed {
            let fail_reasons = (NotRunReason::JobFailed, MayHaveRunReason::JobFailed);
            self.fail_job(key, fail_reasons.0, fail_reasons.1, retry_after_ms);
        } else if job.is_complete() {
            self.end_job(key, Verdict::Done);
        }
    }

    /// Ends a job before all its tasks are done, and cancels the tasks that were started.
    pub(super) fn fail_job(
        &mut self,
        key: JobKey,
        not_run: NotRunReason,
        may_have_run: MayHaveRunReason,
        retry_after_ms: u64,
    ) {
        let Some(JobRecord {
            ticket,
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return;
        };
        for (index, runner) in job.started() {
            if let Some(link) = self.links.get(&runner) {
                let task = TaskRef {
                    ticket: *ticket,
                    index,
                };
                self.actions.push(HomeAction::Send {
                    runner,
                    epoch: link.epoch,
                    frame: HomeFrame::Cancel { task },
                });
            }
        }
        let outcomes = job.outcomes(not_run, may_have_run);
        let verdict = verdict_of(&outcomes, not_run, may_have_run, retry_after_ms);
        job.tasks = outcomes.into_iter().map(TaskState::Ended).collect();
        self.end_job(key, verdict);
    }

    fn end_job(&mut self, key: JobKey, verdict: Verdict) {
        let Some(record) = self.jobs.get_mut(key) else {
            return;
        };
        let JobState::Running(job) = &mut record.state else {
            return;
        };
        let outcomes = std::mem::take(&mut job.tasks)
            .into_iter()
            .filter_map(|state| match state {
                TaskState::Ended(outcome) => Some(outcome),
                TaskState::Queued | TaskState::Started { .. } => None,
            })
            .collect();
        let waiters = std::mem::take(&mut job.waiters);
        self.timers.remove(&(job.deadline, Timer::Deadline(key)));
        let answer = Arc::new(JobAnswer::new(record.ticket, verdict, outcomes));
        record.state = JobState::Ended(Arc::clone(&answer));
        self.running -= 1;
        for waiter in waiters {
            self.reply(waiter, JobStatus::Ended(Arc::clone(&answer)));
        }
        self.actions.push(HomeAction::CountOutcome(match verdict {
            Verdict::Done => "done",
            Verdict::NotRun { .. } | Verdict::MayHaveRun { .. } => verdict.reason(),
        }));
        self.store_answer(key, &answer);
    }

    /// Stores an answer for resubmissions and evicts the oldest ones above the limit.
    pub(super) fn store_answer(&mut self, key: JobKey, answer: &JobAnswer) {
        for old in self.answers.insert(key, answer) {
            if let Some(record) = self.jobs.get_mut(old)
                && matches!(record.state, JobState::Ended(_))
            {
                record.state = JobState::Dropped;
            }
        }
    }
}

/// The verdict of a failed job: "not run" only if none of its tasks may have run.
fn verdict_of(
    outcomes: &[TaskOutcome],
    not_run: NotRunReason,
    may_have_run: MayHaveRunReason,
    retry_after_ms: u64,
) -> Verdict {
    let first_fault = outcomes.iter().find_map(|outcome| match outcome {
        TaskOutcome::Failed { .. } => Some(MayHaveRunReason::TaskFailed),
        TaskOutcome::MayHaveRun { reason } if *reason != may_have_run => Some(*reason),
        _ => None,
    });
    let none_ran = outcomes
        .iter()
        .all(|outcome| matches!(outcome, TaskOutcome::NotRun { .. }));
    if none_ran {
        let cause = outcomes.iter().find_map(|outcome| match outcome {
            TaskOutcome::NotRun { reason } if *reason != not_run => Some(*reason),
            _ => None,
        });
        return Verdict::NotRun {
            reason: cause.unwrap_or(not_run),
            retry_after_ms,
        };
    }
    // The answer is final, so there is no retry delay.
    Verdict::may_have_run(first_fault.unwrap_or(may_have_run))
}
