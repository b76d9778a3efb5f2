//! The JSON body of a submitted job.

use {
    crate::core::job::TaskSpec,
    serde::{Deserialize, Serialize},
};

/// One task in JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TaskBody {
    /// Handed to the backend server.
    pub(crate) input: String,
    /// How long the client believes the task runs.
    #[serde(default)]
    pub(crate) declared_run_ms: u32,
    /// Memory that the task needs; the service's if not given.
    pub(crate) memory_mb: Option<u32>,
    /// Accelerators that the task needs; the service's if not given.
    pub(crate) accelerators: Option<u16>,
}

/// A job in JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobBody {
    /// The service.
    pub(crate) service: String,
    /// Time until the client stops waiting; the service's default if not given.
    pub(crate) deadline_ms: Option<u64>,
    /// Whether tasks may run more than once; the service's word if not given.
    pub(crate) repeatable: Option<bool>,
    /// The tasks.
    pub(crate) tasks: Vec<TaskBody>,
}

impl TaskBody {
    /// The task with the service's needs where it declares none.
    pub(crate) fn into_spec(self, memory_mb: u32, accelerators: u16) -> TaskSpec {
        TaskSpec {
            input: self.input,
            declared_run_ms: self.declared_run_ms,
            memory_mb: self.memory_mb.unwrap_or(memory_mb),
            accelerators: self.accelerators.unwrap_or(accelerators),
        }
    }
}
