//! Identifiers of tasks and runs.

use {
    super::JobId,
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

impl fmt::Display for TaskId {
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
