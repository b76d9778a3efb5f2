//! The order in which waiting tasks are assigned to workers.
//!
//! Under overload, first-in-first-out order would make all jobs equally late. This queue starts
//! tasks first that can still meet their objective, among these those of jobs within the share of
//! their queue, then by priority, and within a priority those of begun jobs; late ones come last.
//! Tasks that can't finish in time are given up.

use {
    super::job::{Job, JobKey},
    crate::core::{queue_shares::ShareClass, time::Instant},
    std::{collections::BTreeSet, ops::Bound},
};

/// Percentage added to an estimate when deciding whether a task can be in time.
///
/// Estimates are off by about 40%. Without a margin an overloaded queue would start each task at the
/// last moment, and half of them would be late.
const ESTIMATE_MARGIN_PERCENT: u64 = 25;

/// How starting a task now relates to the job's deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeadlineClass {
    /// Meets the objective, or completes a job that has begun.
    InTime,
    /// Misses the objective, but stays within the late limit.
    Late,
    /// Exceeds the late limit, but the client still waits, for example with a job that it sends
    /// again after an outage.
    Overdue,
}

/// A waiting task. The order of the fields is the order of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingTask {
    /// As of the last evaluation.
    pub(super) deadline_class: DeadlineClass,
    /// How the job relates to the share of its queue; a job that has begun isn't put behind.
    pub(super) share_class: ShareClass,
    /// The route's priority; lower values go first.
    pub(super) priority: u32,
    /// No task of the job has started.
    ///
    /// Begun jobs go first: clients can't safely retry a job of which a part has run, and
    /// completing it costs less than starting another one.
    pub(super) not_begun: bool,
    /// Latest start at which `deadline_class` still applies.
    pub(super) latest_start: Instant,
    pub(super) job: JobKey,
    /// The task's position in the job.
    pub(super) task: usize,
    /// The client's estimate of the run time, in milliseconds.
    pub(super) estimate_ms: u64,
}

impl WaitingTask {
    /// Classifies a task for the queue; `None` if it can't finish in time any more.
    ///
    /// `spread_ms` is the expected time to start all waiting tasks of the job. A job that has not
    /// begun must start that much earlier for its last task to be in time.
    pub(super) fn new(
        now: Instant,
        key: JobKey,
        job: &Job,
        task: usize,
        spread_ms: u64,
    ) -> Option<Self> {
        let estimate_ms = job.step(task).map_or(0, |step| step.estimate_ms);
        // With a tight objective, half of the slack is used instead of the full margin.
        let slack_ms = job.objective_ms.saturating_sub(estimate_ms);
        let margin_ms = (estimate_ms * ESTIMATE_MARGIN_PERCENT / 100).min(slack_ms / 2);
        let in_time_start = job.latest_start(estimate_ms + margin_ms);
        let late_start = job.last_useful_start(estimate_ms);
        let last_start = job.last_start(estimate_ms);
        let waiting = |deadline_class, latest_start| {
            Some(Self {
                deadline_class,
                share_class: if job.has_begun() {
                    ShareClass::Fitting
                } else {
                    job.share.class
                },
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
            // Not given up while its client waits: the client could only begin anew, later.
            return waiting(DeadlineClass::InTime, last_start);
        }
        if let Some(in_time_start) =
            in_time_start.map(|in_time_start| in_time_start.minus_ms(spread_ms))
            && now <= in_time_start
        {
            return waiting(DeadlineClass::InTime, in_time_start);
        }
        match late_start {
            Some(late_start) if now > late_start => None,
            Some(late_start) => waiting(DeadlineClass::Late, late_start),
            None => waiting(DeadlineClass::Overdue, last_start),
        }
    }

    /// Whether `deadline_class` still applies.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        now <= self.latest_start
    }
}

/// Work that starts before a job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkAhead {
    /// Number of tasks.
    pub(super) tasks: usize,
    /// Work in milliseconds of estimated run time.
    pub(super) work_ms: u64,
}

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

    /// The first task in the order of starts, or the one that follows `before`.
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

    /// Number of tasks that start before `waiting`.
    pub(super) fn count_before(&self, waiting: &WaitingTask) -> usize {
        self.waiting.range(..waiting).count()
    }

    /// In-time tasks of other jobs with an earlier share class, or with the same one and the same or
    /// a more urgent priority.
    pub(super) fn work_ahead_of(&self, waiting: &WaitingTask) -> WorkAhead {
        let others = self.waiting.iter().filter(|other| {
            other.job != waiting.job
                && other.deadline_class == DeadlineClass::InTime
                && (other.share_class, other.priority) <= (waiting.share_class, waiting.priority)
        });
        others.fold(WorkAhead::default(), |ahead, other| WorkAhead {
            tasks: ahead.tasks + 1,
            work_ms: ahead.work_ms + other.estimate_ms,
        })
    }

    /// Work of all waiting tasks, in milliseconds of estimated run time.
    pub(super) fn work_ms(&self) -> u64 {
        self.waiting.iter().map(|waiting| waiting.estimate_ms).sum()
    }

    /// The job's first task in the order of starts.
    pub(super) fn first_of_job(&self, job: JobKey) -> Option<WaitingTask> {
        self.waiting
            .iter()
            .find(|waiting| waiting.job == job)
            .copied()
    }

    /// Removes the job's tasks and returns them in the order of starts.
    pub(super) fn drain_job(&mut self, job: JobKey) -> Vec<WaitingTask> {
        self.waiting
            .extract_if(.., |waiting| waiting.job == job)
            .collect()
    }
}
