//! What a client submits.

use serde::{Deserialize, Serialize};

/// Most tasks that one job may have.
pub(crate) const MAX_TASKS: usize = 200;

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskSpec {
    /// Handed to the backend server as the request's body.
    pub(crate) input: String,
    /// How long the client believes the task runs; often far off, zero if not declared.
    pub(crate) declared_run_ms: u32,
    /// Memory that the task needs.
    pub(crate) memory_mb: u32,
    /// Accelerators that the task needs.
    pub(crate) accelerators: u16,
}

/// One job: 1 to [`MAX_TASKS`] tasks for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// The service whose backend servers run the tasks.
    pub(crate) service: String,
    /// The team on whose quota the job draws.
    pub(crate) team: String,
    /// Time left until the client stops waiting, from the moment of sending.
    pub(crate) deadline_ms: u64,
    /// Whether a task may run more than once.
    pub(crate) repeatable: bool,
    /// The tasks, numbered by position.
    pub(crate) tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// Digest over what makes two submissions the same; the deadline is not part of it.
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
