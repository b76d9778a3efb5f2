//! A job as a client submits it.

use serde::{Deserialize, Serialize};

/// Maximum number of tasks in a job.
pub(crate) const MAX_TASKS: usize = 200;

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskSpec {
    /// Request body for the backend server.
    pub(crate) input: String,
    /// The client's estimate of the run time; often inaccurate, zero if not declared.
    pub(crate) declared_run_ms: u32,
    pub(crate) memory_mb: u32,
    pub(crate) accelerators: u16,
}

/// A job of 1 to [`MAX_TASKS`] tasks for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// The service whose backend servers run the tasks.
    pub(crate) service: String,
    /// The team whose quota the job consumes.
    pub(crate) team: String,
    /// Time until the client stops waiting, counted from when the message was sent.
    pub(crate) deadline_ms: u64,
    /// Whether tasks may safely run more than once.
    pub(crate) repeatable: bool,
    /// The tasks by position.
    pub(crate) tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Digest that is equal for two submissions of the same job; excludes the deadline.
    pub(crate) fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hash_text(&mut hasher, &self.service);
        hash_text(&mut hasher, &self.team);
        hasher.update(&[u8::from(self.repeatable)]);
        for task in &self.tasks {
            hash_text(&mut hasher, &task.input);
            hasher.update(&task.declared_run_ms.to_le_bytes());
            hasher.update(&task.memory_mb.to_le_bytes());
            hasher.update(&task.accelerators.to_le_bytes());
        }
        *hasher.finalize().as_bytes()
    }
}

fn hash_text(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
