//! Client of the backend server on the agent's host.

use {
    crate::core::{
        job::{TaskOutcome, TaskRef},
        message::StartFrame,
    },
    async_trait::async_trait,
    std::fmt::Debug,
};

/// Runs each task as one request to the backend server.
#[async_trait]
pub(crate) trait BackendServer: Debug + Send + Sync {
    /// Runs a task and returns its outcome, "not run" only if it is certain that the task did not run.
    async fn run(&self, start: StartFrame) -> TaskOutcome;

    /// Requests that a running task be stopped; the backend server may ignore it.
    async fn stop(&self, task: TaskRef);
}
