//! The entry's HTTP routes.

use {
    super::{
        client_api, health::with_health, operator_api, response::Refusal,
        route_server::RouteHandler,
    },
    crate::{
        adapters::connections::ServerConnections,
        cli::RunError,
        core::{routes::HttpLimits, verdict::NotRunReason},
        entry::{ConfigStore, EntryState, Jobs},
        ports::Metrics,
    },
    poem::{EndpointExt, Response, Route, get, handler, http::StatusCode, post, web::Data},
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time for requests in progress to complete on shutdown, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 130;

/// State of the routes.
#[derive(Debug)]
pub(crate) struct EntryApi {
    pub(crate) jobs: Jobs,
    pub(crate) claims: Arc<crate::entry::Claims>,
    pub(crate) state: Arc<EntryState>,
    pub(crate) config_store: Arc<ConfigStore>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) max_deadline_ms: u64,
}

/// Extractor of the routes' state in handlers.
pub(crate) type Api<'a> = Data<&'a Arc<EntryApi>>;

/// Serves clients and operators until `stop` resolves, then completes the requests in progress.
pub(crate) async fn serve_entry_api(
    listen: SocketAddr,
    api: Arc<EntryApi>,
    limits: HttpLimits,
    connections: Arc<ServerConnections>,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let routes = Route::new()
        .at("/v1/tickets", post(client_api::get_tickets))
        .at("/v1/jobs", post(client_api::submit_job))
        .at(
            "/v1/jobs/:ticket",
            get(client_api::poll_job).delete(client_api::cancel_job),
        )
        .at("/v1/requests/:service", post(client_api::single_request))
        .at(
            "/v1/config",
            get(operator_api::show).post(operator_api::apply),
        )
        .at("/v1/config/diff", post(operator_api::diff))
        .at("/v1/config/history", get(operator_api::history))
        .at("/v1/zones/:zone/:state", post(operator_api::set_zone))
        .at("/v1/workers", get(operator_api::workers))
        .at("/ready", get(ready));
    let routes = with_health(routes, Arc::clone(&api.metrics))
        .data(api)
        .catch_all_error(route_error_response);
    let shutdown_timeout = Duration::from_secs(SHUTDOWN_TIMEOUT_S);
    RouteHandler::new(routes, limits)
        .serve(listen, connections, stop, shutdown_timeout)
        .await
}

/// Response to requests that match no route, with a "not run" verdict like other rejections.
async fn route_error_response(error: poem::Error) -> Response {
    let refusal = Refusal::new(NotRunReason::BadRequest, error.to_string());
    let mut response = refusal.response();
    response.set_status(error.status());
    response
}

#[handler]
fn ready(api: Api<'_>) -> (StatusCode, &'static str) {
    if api.state.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration or no agents yet\n",
        )
    }
}
