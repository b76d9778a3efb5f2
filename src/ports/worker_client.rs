//! Client of the worker on the agent's host.

use {
    crate::core::execution::{HoldCall, HoldResponse, StartCall, StartResponse, StopCall},
    async_trait::async_trait,
    std::fmt::Debug,
};

/// Calls to the worker. A missing response is part of a call's result, not an error.
#[async_trait]
pub(crate) trait WorkerClient: Debug + Send + Sync {
    async fn start(&self, call: &StartCall) -> StartResponse;

    /// Stops a run; true if the worker accepted the call.
    async fn stop(&self, call: &StopCall) -> bool;

    /// Requests the list of running and finished runs.
    async fn hold(&self, call: &HoldCall) -> HoldResponse;
}
