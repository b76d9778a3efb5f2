//! The worker beside an agent.

use {
    crate::core::execution::{HoldAnswer, HoldCall, StartAnswer, StartCall, StopCall},
    async_trait::async_trait,
    std::fmt::Debug,
};

/// Orders to the worker; each comes back with what its answer, or its absence, means.
#[async_trait]
pub(crate) trait WorkerPort: Debug + Send + Sync {
    /// Tells it to start a task.
    async fn start(&self, call: &StartCall) -> StartAnswer;

    /// Tells it to stop a run; whether it has taken the order.
    async fn stop(&self, call: &StopCall) -> bool;

    /// Asks what runs and what has ended.
    async fn hold(&self, call: &HoldCall) -> HoldAnswer;
}
