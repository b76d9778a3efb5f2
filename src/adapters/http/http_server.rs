//! HTTP/1.1 server for clients, workers and probes.

use {
    super::timed_socket::{ConnectionClock, TimedSocket},
    crate::{adapters::socket::accept, core::routes::HttpLimits},
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, fmt::Debug, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Longest interval between the checks of a connection, in milliseconds; a shorter timeout is in force after it.
const MAX_CHECK_INTERVAL_MS: u64 = 1_500;
/// Checks of a connection per header timeout.
const CHECKS_PER_HEADER_TIMEOUT: u64 = 2;

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
    headers: HeaderMap,
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
    /// Handles one request. The future is dropped when the client disconnects.
    async fn handle(&self, request: HttpRequest) -> HttpResponse;

    /// Limits in force; they may change while a connection is open.
    fn limits(&self) -> HttpLimits {
        HttpLimits::default()
    }
}

/// Serves connections until the task is dropped. Once `stop` is true, connections close after their
/// current request.
pub(crate) async fn serve_http(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    stop: watch::Receiver<bool>,
) {
    loop {
        let socket = accept(&listener, "accepting a connection failed").await;
        tokio::spawn(serve_connection(socket, Arc::clone(&handler), stop.clone()));
    }
}

async fn serve_connection(
    socket: TcpStream,
    handler: Arc<dyn HttpHandler>,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY on a connection");
        return;
    }
    let clock = Arc::new(ConnectionClock::default());
    let max_header_bytes = handler.limits().max_header_bytes;
    let service = service_fn(|request| {
        let (handler, clock) = (Arc::clone(&handler), Arc::clone(&clock));
        async move {
            let guard = clock.start_request();
            let response = read_and_handle(request, handler).await;
            drop(guard);
            Ok::<_, Infallible>(response)
        }
    });
    let socket = TimedSocket::new(socket, Arc::clone(&clock));
    let connection = http1::Builder::new()
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let mut stopping = *stop.borrow();
    if stopping {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let check_interval_ms = handler.limits().header_timeout_ms / CHECKS_PER_HEADER_TIMEOUT;
        let check_interval =
            Duration::from_millis(check_interval_ms.clamp(1, MAX_CHECK_INTERVAL_MS));
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "connection failed");
                }
                return;
            }
            _ = stop.changed(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(check_interval) => {
                let limits = handler.limits();
                if clock.is_header_overdue(limits.header_timeout_ms) {
                    return;
                }
                // The buffer of an open connection can't be resized.
                let has_other_buffer = limits.max_header_bytes != max_header_bytes;
                if has_other_buffer || clock.is_idle_for(limits.idle_timeout_ms) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn read_and_handle(
    request: Request<Incoming>,
    handler: Arc<dyn HttpHandler>,
) -> Response<Full<Bytes>> {
    let limits = handler.limits();
    let (parts, body) = request.into_parts();
    let read = Limited::new(body, limits.max_body_bytes).collect();
    // A body that is sent too slowly must not occupy its connection indefinitely.
    let body = match timeout(Duration::from_millis(limits.idle_timeout_ms), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return close_with_status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return close_with_status(StatusCode::BAD_REQUEST),
        Err(_) => return close_with_status(StatusCode::REQUEST_TIMEOUT),
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
    handler.handle(request).await.into_response()
}

/// Response that closes the connection, since the rest of the request body is not read.
fn close_with_status(status: StatusCode) -> Response<Full<Bytes>> {
    HttpResponse::empty(status)
        .with_header(http::header::CONNECTION, "close")
        .into_response()
}
