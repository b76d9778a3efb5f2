//! Tasks under which workers have crashed.

use {
    super::{Dispatcher, GiveUpReason, JobOutcome, admission::final_outcome, job::JobKey},
    crate::core::{
        time::Instant,
        work::{JobId, TaskId},
    },
    std::collections::BTreeMap,
};

/// Worker crashes after which a task is held responsible and its job has failed.
const MAX_CRASHES: u32 = 2;
/// Lost runs of a task after which its job is given up. Not every crash can be told from a
/// connection that is lost, and a task must not crash workers without limit.
const MAX_LOST_RUNS: u32 = 4;
/// How long crashes are remembered, in milliseconds; longer than clients resend a job.
const CRASH_MEMORY_MS: u64 = 120_000;
/// Maximum number of tasks that are remembered.
const MAX_REMEMBERED_TASKS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    crashes: u32,
    last_at: Instant,
}

/// Number of worker crashes under each task, of this entry's jobs and of others.
#[derive(Debug, Default)]
pub(super) struct CrashRecords {
    by_task: BTreeMap<TaskId, CrashRecord>,
}

impl CrashRecords {
    fn record(&mut self, now: Instant, task: TaskId) {
        self.expire(now);
        let record = self.by_task.entry(task).or_insert(CrashRecord {
            crashes: 0,
            last_at: now,
        });
        record.crashes += 1;
        record.last_at = now;
    }

    fn expire(&mut self, now: Instant) {
        self.by_task
            .retain(|_, record| now.millis_since(record.last_at) < CRASH_MEMORY_MS);
        while self.by_task.len() >= MAX_REMEMBERED_TASKS {
            self.by_task.pop_first();
        }
    }

    /// Whether a worker has crashed under the task.
    pub(super) fn is_suspect(&self, task: TaskId) -> bool {
        self.by_task.contains_key(&task)
    }

    fn is_responsible(&self, task: TaskId) -> bool {
        let record = self.by_task.get(&task);
        record.is_some_and(|record| record.crashes >= MAX_CRASHES)
    }

    /// Clears a task that has ended without a crash.
    pub(super) fn clear(&mut self, task: TaskId) {
        self.by_task.remove(&task);
    }

    /// Whether a worker has crashed under one of the job's tasks. Its tasks must run one at a time
    /// then, so that another crash shows which task caused it.
    pub(super) fn has_task_of(&self, job: JobId) -> bool {
        let bound = |step, index| TaskId { job, step, index };
        let mut tasks = self.by_task.range(bound(0, 0)..=bound(u16::MAX, u16::MAX));
        tasks.next().is_some()
    }
}

impl Dispatcher {
    /// Records the tasks that ran on a crashed worker, and fails jobs with a task that is held
    /// responsible.
    pub(super) fn on_worker_crashed(&mut self, now: Instant, tasks: &[TaskId]) {
        for task in tasks {
            self.crashes.record(now, *task);
            if let Some(key) = self.by_id.get(&task.job).copied() {
                self.fail_if_crashing(now, key);
            }
        }
    }

    /// Fails a job if one of its tasks is held responsible for crashes; returns whether it did.
    pub(super) fn fail_if_crashing(&mut self, now: Instant, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key).filter(|job| !job.closed) else {
            return false;
        };
        let mut tasks = job.tasks.iter().map(|task| job.run_id(task).task);
        let is_crashing = tasks.any(|task| self.crashes.is_responsible(task));
        if is_crashing {
            self.finish_job(now, key, JobOutcome::FailedByCrashes);
        }
        is_crashing
    }

    /// Gives up a job of which a task has been lost too often; returns whether it did.
    pub(super) fn give_up_if_lost(&mut self, now: Instant, key: JobKey, lost_runs: u32) -> bool {
        if lost_runs < MAX_LOST_RUNS {
            return false;
        }
        if let Some(job) = self.jobs.get(key) {
            let outcome = final_outcome(job, GiveUpReason::RunsLost);
            self.finish_job(now, key, outcome);
        }
        true
    }
}
