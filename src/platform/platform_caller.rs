//! One HTTP client for everything that the platform serves.

use {
    super::PlatformError,
    crate::adapters::http::read_body_with_idle_timeout,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time to connect, in milliseconds: a lost opening packet comes again after a second.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time after which an unused connection closes, in milliseconds; servers close theirs after 15 s.
const IDLE_CLOSE_MS: u64 = 8_000;

/// One call.
#[derive(Debug)]
pub(super) struct PlatformCall {
    pub(super) method: Method,
    pub(super) to: SocketAddr,
    /// Path with its query.
    pub(super) path: String,
    pub(super) headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON; empty for none.
    pub(super) body: Vec<u8>,
    /// Time after which the call is given up.
    pub(super) timeout_ms: u64,
}

/// Calls by IP number, over connections that are kept.
#[derive(Debug, Clone)]
pub(crate) struct PlatformCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformCaller {
    /// A client without connections.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_CLOSE_MS))
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Makes a call and reads the answer to its end.
    ///
    /// A call that is given up closes its connection: an answer that comes late on it can't be
    /// taken for that of a later call.
    pub(super) async fn call(
        &self,
        call: PlatformCall,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let limit = Duration::from_millis(call.timeout_ms);
        let exchange = async {
            let response = self.send(call).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok((status, body.map_err(no_answer)?.to_bytes()))
        };
        timeout(limit, exchange).await.map_err(|_| timed_out())?
    }

    /// Makes a call whose answer may be long: its time-out ends with the head of the answer, and what follows is read
    /// for as long as it comes without a pause of `pause_ms`.
    pub(super) async fn read(
        &self,
        call: PlatformCall,
        pause_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let limit = Duration::from_millis(call.timeout_ms);
        let response = timeout(limit, self.send(call));
        let response = response.await.map_err(|_| timed_out())??;
        let status = response.status();
        let body = read_body_with_idle_timeout(response.into_body(), pause_ms).await;
        Ok((status, body.map_err(no_answer)?))
    }

    async fn send(&self, call: PlatformCall) -> Result<Response<Incoming>, PlatformError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.to, call.path));
        if !call.body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let mut request = request.body(Full::new(Bytes::from(call.body)))?;
        request
            .headers_mut()
            .extend(call.headers.into_iter().collect::<HeaderMap>());
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::NoConnection(error.to_string())
            } else {
                no_answer(error)
            }
        })
    }
}

fn no_answer(error: impl ToString) -> PlatformError {
    PlatformError::NoAnswer(error.to_string())
}

fn timed_out() -> PlatformError {
    no_answer("timed out")
}
