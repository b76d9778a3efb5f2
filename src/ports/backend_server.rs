//! The backend server beside an agent.

use {
    crate::core::{
        job::{TaskOutcome, TaskRef},
        message::StartFrame,
    },
    async_trait::async_trait,
    std::fmt::Debug,
};

/// Runs tasks, one request each.
#[async_trait]
pub(crate) trait BackendServer: Debug + Send + Sync {
    /// Runs a task to its end and says truthfully whether it may have run.
    async fn run(&self, start: StartFrame) -> TaskOutcome;

    /// Asks for a running task to be stopped; it may go on all the same.
    async fn stop(&self, task: TaskRef);
}
