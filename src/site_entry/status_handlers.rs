//! HTTP handlers for the load balancer's readiness probe and for metrics.

use {
    super::state::EntryState,
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse},
        ports::Metrics,
    },
    async_trait::async_trait,
    http::StatusCode,
    std::sync::Arc,
};

const METRICS_PATH: &str = "/metrics";

/// Reports to the load balancer whether this entry is ready.
#[derive(Debug)]
pub(super) struct ReadinessHandler {
    pub(super) state: Arc<EntryState>,
}

#[async_trait]
impl HttpHandler for ReadinessHandler {
    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        if self.state.is_ready() {
            HttpResponse::empty(StatusCode::OK)
        } else {
            HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Serves a process's metrics.
#[derive(Debug)]
pub(crate) struct MetricsHandler {
    pub(crate) metrics: Arc<dyn Metrics>,
}

#[async_trait]
impl HttpHandler for MetricsHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if request.path == METRICS_PATH {
            HttpResponse::text(StatusCode::OK, self.metrics.render())
        } else {
            HttpResponse::empty(StatusCode::NOT_FOUND)
        }
    }
}
