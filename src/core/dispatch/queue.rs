//! The order in which waiting tasks get a worker.
//!
//! Load that this answers: more work than the workers can do in time, for seconds. A queue in order of arrival
//! would make everything late by the same time; this one keeps serving what can still be in time, then
//! what is late and of use, and last what only its client's patience keeps.

use {
    super::job::{Job, JobKey},
    crate::core::time::Instant,
    std::collections::BTreeSet,
};

/// What starting a task now would lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// An answer in time.
    InTime,
    /// A late answer that is still of use.
    Late,
    /// An answer before the client stops waiting, at best.
    VeryLate,
}

/// A waiting task, in the order of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiting {
    /// What starting it would lead to, when it was last looked at.
    pub(super) prospect: Prospect,
    /// The latest start for that prospect.
    pub(super) latest_start: Instant,
    /// The job.
    pub(super) job: JobKey,
    /// The task's position in it.
    pub(super) task: usize,
}

impl Waiting {
    /// A task that begins to wait or whose prospect has passed.
    pub(super) fn new(now: Instant, key: JobKey, job: &Job, task: usize) -> Self {
        let estimate_ms = job.step(task).map_or(0, |step| step.estimate_ms);
        let in_time = job.latest_start(estimate_ms);
        let useful = job.last_useful_start(estimate_ms);
        let (prospect, latest_start) = if now <= in_time {
            (Prospect::InTime, in_time)
        } else if now <= useful {
            (Prospect::Late, useful)
        } else {
            (Prospect::VeryLate, job.deadline.minus_ms(estimate_ms))
        };
        Self {
            prospect,
            latest_start,
            job: key,
            task,
        }
    }

    /// Whether the prospect still holds.
    pub(super) fn holds(&self, now: Instant) -> bool {
        now <= self.latest_start
    }
}

/// Waiting tasks of all jobs.
#[derive(Debug, Default)]
pub(super) struct TaskQueue {
    waiting: BTreeSet<Waiting>,
}

impl TaskQueue {
    pub(super) fn insert(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting);
    }

    pub(super) fn remove(&mut self, waiting: &Waiting) {
        self.waiting.remove(waiting);
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// All of them in the order of starts.
    pub(super) fn in_order(&self) -> Vec<Waiting> {
        self.waiting.iter().copied().collect()
    }

    pub(super) fn drop_job(&mut self, job: JobKey) {
        self.waiting.retain(|waiting| waiting.job != job);
    }
}
