//! The worker beside an agent.

use {
    crate::core::execution::{HoldCall, HoldResponse, StartCall, StartResponse, StopCall},
    async_trait::async_trait,
    std::fmt::Debug,
};

/// Orders to the worker; each comes back with what its answer, or its absence, means.
#[async_trait]
pub(crate) trait WorkerClient: Debug + Send + Sync {
    /// Tells it to start a task.
    async fn start(&self, call: &StartCall) -> StartResponse;

    /// Tells it to stop a run; whether it has taken the order.
    async fn stop(&self, call: &StopCall) -> bool;

    /// Asks what runs and what has ended.
    async fn hold(&self, call: &HoldCall) -> HoldResponse;
}
