//! Identifiers of tasks and runs.

use {
    super::{JobId, JobNumber},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskId {
    pub(crate) job: JobId,
    /// The step's position in the job.
    pub(crate) step: u16,
    /// The task's position in the step.
    pub(crate) index: u16,
}

impl TaskId {
    /// The task's name at its worker.
    pub(crate) const fn name(self) -> TaskName {
        TaskName {
            job: self.job.number,
            step: self.step,
            index: self.index,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.name())
    }
}

/// Name of a task at its worker; tasks of two queues have the same one if their jobs have the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskName {
    pub(crate) job: JobNumber,
    /// The step's position in the job.
    pub(crate) step: u16,
    /// The task's position in the step.
    pub(crate) index: u16,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// Identifies a run: one attempt of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RunId {
    pub(crate) task: TaskId,
    /// Number of the attempt, increasing from 1.
    pub(crate) number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
