//! The order in which waiting tasks get a worker.
//!
//! Load that this answers: more work than the workers can do in time, for seconds. A queue in order of arrival
//! would make everything late by the same time. This one serves what can still be in time, and of each priority
//! what has begun first, then what is late and of use. What can be neither is given up.

use {
    super::job::{Job, JobKey},
    crate::core::time::Instant,
    std::{collections::BTreeSet, ops::Bound},
};

/// A task counts as in time if it may take so many hundredths longer than estimated.
///
/// Estimates are off by four tenths or so; without a margin a queue in overload would start each task at
/// its last moment, and half of them would be late.
const ESTIMATE_MARGIN_PERCENT: u64 = 25;

/// What starting a task now would lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeadlineClass {
    /// An answer in time, or at least a whole one of a job that has begun.
    InTime,
    /// A late answer that is still of use.
    Late,
    /// An answer that comes too late to be of use, while its client still waits: it came back after an outage.
    Overdue,
}

/// A waiting task, in the order of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingTask {
    /// What starting it would lead to, when it was last looked at.
    pub(super) deadline_class: DeadlineClass,
    /// The queue's priority; lower values go first.
    pub(super) priority: u32,
    /// Nothing of the job has begun.
    ///
    /// Guards against jobs of which a part runs and the rest waits until it is of no use: their clients can't
    /// repeat them, and what ran was in vain. Of two jobs alike the rest of a begun one costs less, too.
    pub(super) not_begun: bool,
    /// The latest start for that prospect.
    pub(super) latest_start: Instant,
    /// The job.
    pub(super) job: JobKey,
    /// The task's position in it.
    pub(super) task: usize,
    /// The client's estimate of its run time.
    pub(super) estimate_ms: u64,
}

impl WaitingTask {
    /// A task that begins to wait or whose prospect has passed; `None` if it is of no use any more.
    ///
    /// All tasks of a job take `spread_ms` to start one after another. A job begins only while there is time
    /// for that, too: begun at the last moment, it would be late by as much.
    pub(super) fn new(
        now: Instant,
        key: JobKey,
        job: &Job,
        task: usize,
        spread_ms: u64,
    ) -> Option<Self> {
        let estimate_ms = job.step(task).map_or(0, |step| step.estimate_ms);
        // A queue with a tight objective leaves less than the margin.
        let slack_ms = job.objective_ms.saturating_sub(estimate_ms);
        let margin_ms = (estimate_ms * ESTIMATE_MARGIN_PERCENT / 100).min(slack_ms / 2);
        let in_time_start = job.latest_start(estimate_ms + margin_ms);
        let late_start = job.last_useful_start(estimate_ms);
        let last_start = late_start.unwrap_or(job.last_start(estimate_ms));
        let waiting = |deadline_class, latest_start| {
            Some(Self {
                deadline_class,
                priority: job.route.priority,
                not_begun: !job.has_begun(),
                latest_start,
                job: key,
                task,
                estimate_ms,
            })
        };
        if now > last_start {
            return None;
        }
        if job.has_begun() {
            return waiting(DeadlineClass::InTime, last_start);
        }
        if let Some(in_time_start) =
            in_time_start.map(|in_time_start| in_time_start.minus_ms(spread_ms))
            && now <= in_time_start
        {
            return waiting(DeadlineClass::InTime, in_time_start);
        }
        match late_start {
            Some(late_start) => waiting(DeadlineClass::Late, late_start),
            None => waiting(DeadlineClass::Overdue, last_start),
        }
    }

    /// Whether the prospect still holds.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        now <= self.latest_start
    }
}

/// What goes before a job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkAhead {
    /// Tasks.
    pub(super) tasks: usize,
    /// Their work, in milliseconds by the clients' estimates.
    pub(super) work_ms: u64,
}

/// Waiting tasks of all jobs.
#[derive(Debug, Default)]
pub(super) struct TaskQueue {
    waiting: BTreeSet<WaitingTask>,
}

impl TaskQueue {
    pub(super) fn insert(&mut self, waiting: WaitingTask) {
        self.waiting.insert(waiting);
    }

    pub(super) fn remove(&mut self, waiting: &WaitingTask) {
        self.waiting.remove(waiting);
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The first in the order of starts, or the one that follows another.
    pub(super) fn next_after(&self, before: Option<&WaitingTask>) -> Option<WaitingTask> {
        match before {
            None => self.waiting.first().copied(),
            Some(before) => {
                let beyond = (Bound::Excluded(before), Bound::Unbounded);
                self.waiting.range(beyond).next().copied()
            }
        }
    }

    pub(super) fn remove_job(&mut self, job: JobKey) {
        self.waiting.retain(|waiting| waiting.job != job);
    }

    /// Tasks that start before another.
    pub(super) fn count_before(&self, waiting: &WaitingTask) -> usize {
        self.waiting.range(..waiting).count()
    }

    /// Tasks of other jobs that may be in time and are as urgent as this one, or more.
    pub(super) fn work_ahead_of(&self, waiting: &WaitingTask) -> WorkAhead {
        let others = self.waiting.iter().filter(|other| {
            other.job != waiting.job
                && other.deadline_class == DeadlineClass::InTime
                && other.priority <= waiting.priority
        });
        others.fold(WorkAhead::default(), |ahead, other| WorkAhead {
            tasks: ahead.tasks + 1,
            work_ms: ahead.work_ms + other.estimate_ms,
        })
    }

    /// Work that waits, in milliseconds by the clients' estimates.
    pub(super) fn work_ms(&self) -> u64 {
        self.waiting.iter().map(|waiting| waiting.estimate_ms).sum()
    }

    /// The first of a job's tasks that wait.
    pub(super) fn first_of_job(&self, job: JobKey) -> Option<WaitingTask> {
        self.waiting
            .iter()
            .find(|waiting| waiting.job == job)
            .copied()
    }

    /// Takes out the tasks of a job that wait, in their order.
    pub(super) fn drain_job(&mut self, job: JobKey) -> Vec<WaitingTask> {
        self.waiting
            .extract_if(.., |waiting| waiting.job == job)
            .collect()
    }
}
