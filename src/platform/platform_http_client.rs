//! HTTP client for the platform's services.

use {
    super::PlatformError,
    crate::{
        adapters::http::{
            BodyError, ConnectionPool, PoolSettings, PooledClient, read_body_with_idle_timeout,
        },
        ports::{Counter, Metrics},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{error::Error, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Connect timeout, in milliseconds; shorter than the second after which TCP resends a lost SYN.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Idle timeout of connections, in milliseconds; shorter than the 15 s of the servers.
const IDLE_TIMEOUT_MS: u64 = 8_000;

#[derive(Debug)]
pub(super) struct PlatformRequest {
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    pub(super) headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON; empty for a request without a body.
    pub(super) body: Vec<u8>,
    pub(super) timeout_ms: u64,
}

/// HTTP client of one server, with a connection pool.
#[derive(Debug)]
pub(crate) struct PlatformHttpClient {
    addr: SocketAddr,
    /// Name of the server in metrics.
    server: &'static str,
    pool: ConnectionPool,
    metrics: Arc<dyn Metrics>,
}

impl PlatformHttpClient {
    pub(crate) fn new(addr: SocketAddr, server: &'static str, metrics: Arc<dyn Metrics>) -> Self {
        let pool = ConnectionPool::new(PoolSettings {
            connect_timeout_ms: Some(CONNECT_TIMEOUT_MS),
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        });
        Self {
            addr,
            server,
            pool,
            metrics,
        }
    }

    /// Sends a request and reads the complete response; the timeout covers both.
    ///
    /// A timeout closes the connection, so that a late response can't be mistaken for that of a
    /// later call, and no later call uses a connection that was open before.
    pub(super) async fn call(
        &self,
        call: PlatformRequest,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let limit = Duration::from_millis(call.timeout_ms);
        let client = self.pool.client();
        let exchange = async {
            let response = self.send(&client, call).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok((status, body.map_err(no_response)?.to_bytes()))
        };
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.handle_timeout(&client)),
        }
    }

    /// Sends a request whose response may be large. The timeout covers the response head; the body may take any time
    /// without a gap of `idle_timeout_ms`.
    pub(super) async fn call_streaming(
        &self,
        call: PlatformRequest,
        idle_timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let limit = Duration::from_millis(call.timeout_ms);
        let client = self.pool.client();
        let Ok(response) = timeout(limit, self.send(&client, call)).await else {
            return Err(self.handle_timeout(&client));
        };
        let response = response?;
        let status = response.status();
        match read_body_with_idle_timeout(response.into_body(), idle_timeout_ms).await {
            Ok(body) => Ok((status, body)),
            Err(BodyError::TimedOut) => Err(self.handle_timeout(&client)),
            Err(error) => Err(no_response(error)),
        }
    }

    fn handle_timeout(&self, client: &PooledClient) -> PlatformError {
        if self.pool.replace_connections(client) {
            self.metrics
                .count(Counter::ConnectionReplacements, self.server);
        }
        no_response("timed out")
    }

    async fn send(
        &self,
        client: &PooledClient,
        call: PlatformRequest,
    ) -> Result<Response<Incoming>, PlatformError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.addr, call.path));
        if !call.body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let mut request = request.body(Full::new(Bytes::from(call.body)))?;
        request
            .headers_mut()
            .extend(call.headers.into_iter().collect::<HeaderMap>());
        client.request(request).await.map_err(|error| {
            if is_refused(&error) {
                PlatformError::Refused(error.to_string())
            } else if error.is_connect() {
                PlatformError::NoConnection(error.to_string())
            } else {
                no_response(error)
            }
        })
    }
}

/// Whether the cause of an error is a refused connection.
fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>()
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        cause = error.source();
    }
    false
}

fn no_response(error: impl ToString) -> PlatformError {
    PlatformError::NoResponse(error.to_string())
}
