//! The order in which waiting tasks get a worker.
//!
//! Load that this answers: more work than the workers can do in time, for seconds. A queue in order of arrival
//! would make everything late by the same time; this one keeps serving what can still be in time, then
//! what is late and of use. What can be neither is given up.

use {
    super::job::{Job, JobKey},
    crate::core::time::Instant,
    std::{collections::BTreeSet, ops::Bound},
};

/// A task counts as in time if it may take this many hundredths of its estimate.
///
/// Estimates are off by four tenths or so; without a margin a queue in overload would start each task at
/// its last moment, and half of them would be late.
const IN_TIME_PERCENT: u64 = 125;
/// A late job with at most this share of its tasks left goes with those in time, in hundredths.
///
/// A late answer is worth a fifth of one in time, so its last fifth of work is worth as much as
/// any other.
const LAST_PERCENT: usize = 20;

/// What starting a task now would lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// An answer in time.
    InTime,
    /// A late answer that is still of use.
    Late,
}

/// A waiting task, in the order of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiting {
    /// What starting it would lead to, when it was last looked at.
    pub(super) prospect: Prospect,
    /// The queue's priority; lower values go first.
    pub(super) priority: u32,
    /// Nothing of the job has been ordered.
    ///
    /// Load that this answers: a queue that never empties. Room ends somewhere within a job, and ordered by
    /// time alone the rest of it would wait behind others until it is of no use, and what ran of it
    /// was in vain. Of two jobs alike, the rest of one that has begun costs less for the same answer.
    pub(super) untouched: bool,
    /// The latest start for that prospect.
    pub(super) latest_start: Instant,
    /// The job.
    pub(super) job: JobKey,
    /// The task's position in it.
    pub(super) task: usize,
}

impl Waiting {
    /// A task that begins to wait or whose prospect has passed; `None` if it is of no use any more.
    pub(super) fn new(now: Instant, key: JobKey, job: &Job, task: usize) -> Option<Self> {
        let estimate_ms = job.step(task).map_or(0, |step| step.estimate_ms);
        let in_time = job.latest_start(estimate_ms * IN_TIME_PERCENT / 100);
        let useful = job.last_useful_start(estimate_ms);
        let waiting = |prospect, latest_start| Self {
            prospect,
            priority: job.route.priority,
            untouched: job.starts == 0,
            latest_start,
            job: key,
            task,
        };
        if now <= in_time {
            return Some(waiting(Prospect::InTime, in_time));
        }
        if now > useful {
            return None;
        }
        let is_last = job.left * 100 <= job.tasks.len() * LAST_PERCENT;
        let prospect = if is_last {
            Prospect::InTime
        } else {
            Prospect::Late
        };
        Some(waiting(prospect, useful))
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

    /// The first in the order of starts, or the one that follows another.
    pub(super) fn after(&self, before: Option<&Waiting>) -> Option<Waiting> {
        match before {
            None => self.waiting.first().copied(),
            Some(before) => {
                let beyond = (Bound::Excluded(before), Bound::Unbounded);
                self.waiting.range(beyond).next().copied()
            }
        }
    }

    pub(super) fn drop_job(&mut self, job: JobKey) {
        self.waiting.retain(|waiting| waiting.job != job);
    }

    /// The first of a job's tasks that wait.
    pub(super) fn first_of(&self, job: JobKey) -> Option<Waiting> {
        self.waiting
            .iter()
            .find(|waiting| waiting.job == job)
            .copied()
    }

    /// Takes out the tasks of a job that wait, in their order.
    pub(super) fn take_job(&mut self, job: JobKey) -> Vec<Waiting> {
        self.waiting
            .extract_if(.., |waiting| waiting.job == job)
            .collect()
    }
}
