//! HTTP/1.1 server for clients, workers and probes.

use {
    super::{
        request_body::{ReceiveError, read_body},
        timed_socket::{ConnectionClock, TimedSocket},
    },
    crate::{
        adapters::{
            connections::{ServerConnections, TrackedConnection},
            socket::accept,
        },
        core::{
            connections::{CloseMode, Stage},
            routes::HttpLimits,
        },
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        fmt::Debug,
        future::{Future, poll_fn},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{Instant, sleep, timeout},
    },
};

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Longest interval between the checks of a connection, in milliseconds; a shorter timeout is in force after it.
const MAX_CHECK_INTERVAL_MS: u64 = 1_500;
/// Checks of a connection per header timeout.
const CHECKS_PER_HEADER_TIMEOUT: u64 = 2;
/// Time for a client to read the response to a request that it is still sending, in milliseconds. Closing
/// the connection before would reset it, and the response could be lost.
const LINGER_MS: u64 = 1_000;
/// Reads of a connection that is closed at once; more than a socket's buffer usually holds.
const MAX_DISCARDED_READS: usize = 64;
/// Retry delay sent to clients whose unfinished request was rejected, in seconds.
const REJECTED_RETRY_S: &str = "1";
/// Response to connections beyond the limit.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: Method,
    /// The path without the query.
    pub(crate) path: String,
    /// The query, empty if absent.
    pub(crate) query: String,
    /// The `Host` header without the port, empty if absent.
    pub(crate) host: String,
    pub(crate) body: Bytes,
    pub(super) headers: HeaderMap,
}

impl HttpRequest {
    /// A header's value, if present and ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl HttpResponse {
    /// A response without a body.
    pub(crate) const fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A response with a JSON body.
    pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let json = HeaderValue::from_static("application/json");
        Self {
            status,
            headers: vec![(http::header::CONTENT_TYPE, json)],
            body: body.into(),
        }
    }

    /// A response with a plain-text body.
    pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        Self {
            status,
            headers: vec![(http::header::CONTENT_TYPE, text)],
            body: body.into(),
        }
    }

    /// A response with these headers.
    pub(super) fn from_parts(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        let headers = headers.iter();
        Self {
            status,
            headers: headers
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
            body,
        }
    }

    /// Adds a header; an invalid header value is ignored.
    pub(crate) fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((name, value));
        }
        self
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.headers);
        response
    }
}

/// Handles the requests to a process.
#[async_trait]
pub(crate) trait HttpHandler: Debug + Send + Sync {
    /// Handles one request. The future is dropped when the client disconnects, unless
    /// [`Self::outlives_client`].
    async fn handle(&self, request: HttpRequest) -> HttpResponse;

    /// Whether a request is handled to its end although its client has disconnected.
    fn outlives_client(&self) -> bool {
        false
    }

    /// Limits in force; they may change while a connection is open.
    fn limits(&self) -> HttpLimits {
        HttpLimits::default()
    }

    /// The response to a request that could not be received; it has not been handled.
    async fn receive_error_response(&self, error: &ReceiveError) -> HttpResponse {
        match error {
            ReceiveError::TooLarge(_) => HttpResponse::empty(StatusCode::PAYLOAD_TOO_LARGE),
            ReceiveError::Broken(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
            ReceiveError::TimedOut => HttpResponse::empty(StatusCode::REQUEST_TIMEOUT),
            ReceiveError::Rejected => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
                .with_header(http::header::RETRY_AFTER, REJECTED_RETRY_S),
        }
    }
}

/// Serves connections without limits on their number and memory, like [`serve_limited_http`].
pub(crate) async fn serve_http(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    stop: watch::Receiver<bool>,
) {
    serve_limited_http(listener, handler, ServerConnections::unlimited(), stop).await;
}

/// Serves connections until the task is dropped. Once `stop` is true, connections close after their
/// current request.
pub(crate) async fn serve_limited_http(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    connections: Arc<ServerConnections>,
    stop: watch::Receiver<bool>,
) {
    loop {
        let socket = accept(&listener, "accepting a connection failed").await;
        let Some(tracked) = connections.track().await else {
            // If the response doesn't fit into the socket's buffer, the client sees a closed connection.
            let _ = socket.try_write(REFUSAL);
            continue;
        };
        let connection = HttpConnection {
            handler: Arc::clone(&handler),
            tracked,
            stop: stop.clone(),
            is_body_unread: AtomicBool::new(false),
        };
        tokio::spawn(Arc::new(connection).serve(socket));
    }
}

/// State of one connection.
#[derive(Debug)]
struct HttpConnection {
    handler: Arc<dyn HttpHandler>,
    tracked: Arc<TrackedConnection>,
    stop: watch::Receiver<bool>,
    /// Whether the response was sent before the whole request body was read.
    is_body_unread: AtomicBool,
}

/// What becomes of a connection after a check of its timeouts.
#[derive(Debug)]
enum Check {
    Keep,
    /// Close it after the request in progress.
    Finish,
    /// Close it at once.
    Abort,
}

type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<Full<Bytes>>, Infallible>> + Send>>;

impl HttpConnection {
    async fn serve(self: Arc<Self>, socket: TcpStream) {
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!(error:% = error; "failed to set TCP_NODELAY on a connection");
            return;
        }
        let limits = self.handler.limits();
        self.tracked
            .set_max_request_bytes(max_request_bytes(&limits));
        let max_header_bytes = limits.max_header_bytes;
        let clock = Arc::new(ConnectionClock::new(Arc::clone(&self.tracked)));
        let service = service_fn(|request| -> ResponseFuture {
            let (connection, clock) = (Arc::clone(&self), Arc::clone(&clock));
            Box::pin(async move {
                let guard = clock.start_request();
                let response = connection.read_and_handle(request).await;
                drop(guard);
                Ok(response)
            })
        });
        let socket = TimedSocket::new(socket, Arc::clone(&clock));
        let mut connection = http1::Builder::new()
            .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(socket), service);
        let mut stop = self.stop.clone();
        let mut is_stopping = *stop.borrow();
        if is_stopping {
            Pin::new(&mut connection).graceful_shutdown();
        }
        let mut orders = self.tracked.orders();
        let mut is_client_gone = false;
        // Set once the connection has been told to close after a response.
        let mut abort_at: Option<Instant> = None;
        loop {
            let check_interval_ms =
                self.handler.limits().header_timeout_ms / CHECKS_PER_HEADER_TIMEOUT;
            let check_interval =
                Duration::from_millis(check_interval_ms.clamp(1, MAX_CHECK_INTERVAL_MS));
            tokio::select! {
                result = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    let Err(error) = result else {
                        break;
                    };
                    log::debug!(error:% = error; "connection failed");
                    if is_client_gone || !self.handler.outlives_client() {
                        return;
                    }
                    // Polled further, the connection reads no more and drives the request in progress.
                    is_client_gone = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                _ = orders.changed() => {
                    if *orders.borrow() == Some(CloseMode::Abort) {
                        // An unfinished request is answered if the response can be written at once.
                        let last_poll = |context: &mut Context<'_>| {
                            Poll::Ready(connection.poll_without_shutdown(context))
                        };
                        let _ = poll_fn(last_poll).await;
                        discard_received(connection.into_parts().io.into_inner()).await;
                        return;
                    }
                    abort_at = Some(Instant::now() + Duration::from_millis(LINGER_MS));
                }
                _ = stop.changed(), if !is_stopping => {
                    is_stopping = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                () = sleep(check_interval) => {
                    let is_overdue = abort_at.is_some_and(|abort_at| abort_at <= Instant::now());
                    match self.check(&clock, max_header_bytes) {
                        _ if is_overdue => return,
                        Check::Abort => return,
                        Check::Finish => Pin::new(&mut connection).graceful_shutdown(),
                        Check::Keep => {}
                    }
                }
            }
        }
        self.close(connection.into_parts().io.into_inner()).await;
    }

    /// Checks the timeouts of the connection; its buffer was created for headers of `max_header_bytes`.
    fn check(&self, clock: &ConnectionClock, max_header_bytes: usize) -> Check {
        let limits = self.handler.limits();
        if clock.is_header_overdue(limits.header_timeout_ms) {
            return Check::Abort;
        }
        // The buffer of an open connection can't be resized.
        let has_other_buffer = limits.max_header_bytes != max_header_bytes;
        if has_other_buffer || clock.is_idle_for(limits.idle_timeout_ms) {
            return Check::Finish;
        }
        Check::Keep
    }

    /// Closes a connection after its last response, so that the client can read the response.
    async fn close(&self, mut socket: TimedSocket) {
        if socket.shutdown().await.is_err() || !self.is_body_unread.load(Ordering::Relaxed) {
            return;
        }
        let discard = async {
            let mut buffer = vec![0; MIN_BUFFER_BYTES];
            while socket.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
        };
        let mut orders = self.tracked.orders();
        // The client may go on sending for any length of time.
        tokio::select! {
            _ = timeout(Duration::from_millis(LINGER_MS), discard) => {}
            _ = orders.wait_for(|mode| *mode == Some(CloseMode::Abort)) => {}
        }
    }

    async fn read_and_handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let limits = self.handler.limits();
        self.tracked
            .set_max_request_bytes(max_request_bytes(&limits));
        let (parts, body) = request.into_parts();
        let body = match read_body(body, &limits, &self.tracked).await {
            Ok(body) if self.tracked.enter(Stage::Handling) => body,
            Ok(_) => return self.receive_error(&ReceiveError::Rejected).await,
            Err(error) => return self.receive_error(&error).await,
        };
        let host_header = parts.headers.get(http::header::HOST);
        let host = host_header
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let request = HttpRequest {
            host: host.split(':').next().unwrap_or_default().to_owned(),
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
        };
        self.handler.handle(request).await.into_response()
    }

    /// Response that closes the connection, since the rest of the request body is not read.
    async fn receive_error(&self, error: &ReceiveError) -> Response<Full<Bytes>> {
        self.is_body_unread.store(true, Ordering::Relaxed);
        self.handler
            .receive_error_response(error)
            .await
            .with_header(http::header::CONNECTION, "close")
            .into_response()
    }
}

/// Closes a connection at once. Bytes that have arrived are read first: otherwise the connection would be
/// reset, and its client could lose the response.
async fn discard_received(mut socket: TimedSocket) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut buffer = vec![0; MIN_BUFFER_BYTES];
    for _ in 0..MAX_DISCARDED_READS {
        match timeout(Duration::ZERO, socket.read(&mut buffer)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return,
        }
    }
}

/// Most bytes that one request can occupy: the header is read into a buffer that may hold the beginning
/// of the body as well.
fn max_request_bytes(limits: &HttpLimits) -> usize {
    2 * limits.max_header_bytes.max(MIN_BUFFER_BYTES) + limits.max_body_bytes
}
