//! Serves poem routes under the limits of the HTTP server.

use {
    super::{
        http_server::{HttpHandler, HttpRequest, HttpResponse, serve_limited_http},
        request_body::ReceiveError,
        response::Refusal,
    },
    crate::{
        adapters::connections::ServerConnections,
        cli::{RunError, listen},
        core::{routes::HttpLimits, verdict::NotRunReason},
    },
    async_trait::async_trait,
    http::StatusCode,
    poem::{Endpoint, EndpointExt, Response, endpoint::BoxEndpoint},
    std::{fmt, future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Time on shutdown for requests that are still being received, in milliseconds.
const RECEIVE_GRACE_MS: u64 = 2_000;
/// Interval at which open connections are polled on shutdown, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// Retry delay sent to clients whose unfinished request was rejected, in milliseconds.
const REJECTED_RETRY_MS: u64 = 1_000;

/// Passes requests to poem routes.
pub(super) struct RouteHandler {
    routes: BoxEndpoint<'static, Response>,
    limits: HttpLimits,
}

impl fmt::Debug for RouteHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteHandler").finish_non_exhaustive()
    }
}

impl RouteHandler {
    pub(super) fn new(
        routes: impl Endpoint<Output = Response> + 'static,
        limits: HttpLimits,
    ) -> Self {
        Self {
            routes: routes.boxed(),
            limits,
        }
    }

    /// Serves the routes until `stop` resolves, then completes the requests in progress for at most
    /// `shutdown_timeout`.
    pub(super) async fn serve(
        self,
        addr: SocketAddr,
        connections: Arc<ServerConnections>,
        stop: impl Future<Output = ()>,
        shutdown_timeout: Duration,
    ) -> Result<(), RunError> {
        let listener = listen(addr).await?;
        let (stop_sender, stopped) = watch::channel(false);
        let server = tokio::spawn(serve_limited_http(
            listener,
            Arc::new(self),
            Arc::clone(&connections),
            stopped,
        ));
        stop.await;
        server.abort();
        stop_sender.send_replace(true);
        let stopped_at = Instant::now();
        let receive_grace = Duration::from_millis(RECEIVE_GRACE_MS);
        while stopped_at.elapsed() < shutdown_timeout {
            let may_be_receiving = stopped_at.elapsed() < receive_grace;
            if connections.is_idle(may_be_receiving) {
                break;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        // Leaves time to write the last responses to their sockets.
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        Ok(())
    }
}

#[async_trait]
impl HttpHandler for RouteHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let Some(request) = into_poem(request) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        from_poem(self.routes.get_response(request).await).await
    }

    fn outlives_client(&self) -> bool {
        true
    }

    fn limits(&self) -> HttpLimits {
        self.limits
    }

    async fn receive_error_response(&self, error: &ReceiveError) -> HttpResponse {
        let refusal = match error {
            ReceiveError::TooLarge(_) => {
                Refusal::new(NotRunReason::BodyTooLarge, error.to_string())
            }
            ReceiveError::Broken(_) | ReceiveError::TimedOut => {
                Refusal::new(NotRunReason::BadRequest, error.to_string())
            }
            ReceiveError::Rejected => {
                Refusal::retry_after(NotRunReason::Overloaded, REJECTED_RETRY_MS)
            }
        };
        from_poem(refusal.response()).await
    }
}

async fn from_poem(response: Response) -> HttpResponse {
    let (parts, body) = response.into_parts();
    match body.into_bytes().await {
        Ok(body) => HttpResponse::from_parts(parts.status, &parts.headers, body),
        Err(error) => {
            log::warn!(error:% = error; "building a response failed");
            HttpResponse::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn into_poem(request: HttpRequest) -> Option<poem::Request> {
    let target = match request.query.as_str() {
        "" => request.path,
        query => format!("{}?{query}", request.path),
    };
    let mut built = poem::Request::builder()
        .method(request.method)
        .uri(target.parse().ok()?)
        .body(request.body);
    *built.headers_mut() = request.headers;
    Some(built)
}
