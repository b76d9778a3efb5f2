//! JSON body of a submitted job.

use {
    crate::core::job::TaskSpec,
    serde::{Deserialize, Serialize},
};

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TaskBody {
    /// Passed to the backend server unchanged.
    pub(crate) input: String,
    /// Client's estimate of the run time.
    #[serde(default)]
    pub(crate) declared_run_ms: u32,
    /// Required memory; defaults to the service's.
    pub(crate) memory_mb: Option<u32>,
    /// Required accelerators; defaults to the service's.
    pub(crate) accelerators: Option<u16>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobBody {
    pub(crate) service: String,
    /// Time until the client stops waiting; defaults to the service's.
    pub(crate) deadline_ms: Option<u64>,
    /// Whether tasks may run more than once; defaults to the service's setting.
    pub(crate) repeatable: Option<bool>,
    pub(crate) tasks: Vec<TaskBody>,
}

impl TaskBody {
    /// Converts to a task, with the service's resources where the client declares none.
    pub(crate) fn into_spec(self, memory_mb: u32, accelerators: u16) -> TaskSpec {
        TaskSpec {
            input: self.input,
            declared_run_ms: self.declared_run_ms,
            memory_mb: self.memory_mb.unwrap_or(memory_mb),
            accelerators: self.accelerators.unwrap_or(accelerators),
        }
    }
}
