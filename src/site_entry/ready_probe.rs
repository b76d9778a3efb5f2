//! Answers to the balancer's probes and to whoever reads metrics.

use {
    super::state::EntryState,
    crate::{
        adapters::http::{HttpAnswer, HttpCall, HttpHandler},
        ports::Metrics,
    },
    async_trait::async_trait,
    http::StatusCode,
    std::sync::Arc,
};

/// Path of metrics.
const METRICS_PATH: &str = "/metrics";

/// Tells the balancer whether this entry is ready.
#[derive(Debug)]
pub(super) struct ReadyProbe {
    pub(super) state: Arc<EntryState>,
}

#[async_trait]
impl HttpHandler for ReadyProbe {
    async fn answer(&self, _: HttpCall) -> HttpAnswer {
        if self.state.is_ready() {
            HttpAnswer::empty(StatusCode::OK)
        } else {
            HttpAnswer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Shows a process's metrics.
#[derive(Debug)]
pub(crate) struct ServiceProbe {
    /// The metrics.
    pub(crate) metrics: Arc<dyn Metrics>,
}

#[async_trait]
impl HttpHandler for ServiceProbe {
    async fn answer(&self, call: HttpCall) -> HttpAnswer {
        if call.path == METRICS_PATH {
            HttpAnswer::text(StatusCode::OK, self.metrics.render())
        } else {
            HttpAnswer::empty(StatusCode::NOT_FOUND)
        }
    }
}
