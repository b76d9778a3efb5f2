//! Routes for metrics and health checks, common to all services.

use {
    crate::ports::Metrics,
    poem::{EndpointExt, Route, get, handler, web::Data},
    std::sync::Arc,
};

/// Adds `/metrics` and `/health`.
pub(super) fn with_health(routes: Route, metrics: Arc<dyn Metrics>) -> Route {
    routes
        .at("/metrics", get(show_metrics).data(metrics))
        .at("/health", get(health))
}

#[handler]
fn show_metrics(metrics: Data<&Arc<dyn Metrics>>) -> String {
    metrics.render()
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}
