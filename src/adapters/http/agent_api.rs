//! The agent's HTTP routes: announcements of its backend server, metrics and health.

use {
    super::{health::with_health, route_server::RouteHandler},
    crate::{
        adapters::{backend::HttpBackend, connections::ServerConnections},
        agent::AgentHandle,
        cli::RunError,
        core::routes::HttpLimits,
        ports::Metrics,
    },
    poem::{
        EndpointExt, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json},
    },
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time for requests in progress to complete on shutdown, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 10;

/// State of the routes.
#[derive(Debug)]
pub(crate) struct AgentApi {
    pub(crate) agent: Arc<AgentHandle>,
    pub(crate) backend: Arc<HttpBackend>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

/// Announcement that the backend server sends to its agent every second.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BackendBody {
    pub(crate) addr: SocketAddr,
    pub(crate) services: Vec<String>,
    /// Maximum number of concurrent tasks.
    pub(crate) slots: u16,
    /// The backend server accepts no new tasks.
    #[serde(default)]
    pub(crate) leaving: bool,
}

type Api<'a> = Data<&'a Arc<AgentApi>>;

/// Serves the routes until `stop` resolves.
pub(crate) async fn serve_agent_api(
    listen: SocketAddr,
    api: Arc<AgentApi>,
    limits: HttpLimits,
    connections: Arc<ServerConnections>,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let routes = Route::new()
        .at("/v1/backend", post(announce))
        .at("/ready", get(ready));
    let routes = with_health(routes, Arc::clone(&api.metrics))
        .data(api)
        .map_to_response();
    let shutdown_timeout = Duration::from_secs(SHUTDOWN_TIMEOUT_S);
    RouteHandler::new(routes, limits)
        .serve(listen, connections, stop, shutdown_timeout)
        .await
}

#[handler]
fn announce(api: Api<'_>, Json(body): Json<BackendBody>) -> StatusCode {
    if body.leaving {
        api.agent.remove_backend();
        return StatusCode::OK;
    }
    api.backend.set_addr(body.addr);
    api.agent.register_backend(body.services, body.slots);
    StatusCode::OK
}

#[handler]
async fn ready(api: Api<'_>) -> (StatusCode, &'static str) {
    if api.agent.is_ready().await {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no backend server yet\n")
    }
}
