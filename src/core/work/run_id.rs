//! Names of tasks and of their runs.

use {
    super::JobId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One task of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskId {
    /// The job.
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

/// One try at running a task; numbers count from 1 and rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RunId {
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the try.
    pub(crate) number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
