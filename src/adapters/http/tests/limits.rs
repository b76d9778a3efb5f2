//! Tests of limits that change while a connection is open.

use {
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse, serve_http},
        core::routes::HttpLimits,
    },
    async_trait::async_trait,
    http::StatusCode,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time of the change after which it must be in force.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// Responds to every request under limits that a test sets.
#[derive(Debug, Default)]
struct LimitedHandler(Mutex<HttpLimits>);

#[async_trait]
impl HttpHandler for LimitedHandler {
    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        HttpResponse::empty(StatusCode::OK)
    }

    fn limits(&self) -> HttpLimits {
        *self.0.lock().expect("lock")
    }
}

/// A server, and a connection that was opened before its limits changed.
struct TestServer {
    handler: Arc<LimitedHandler>,
    connection: TcpStream,
    _stop: watch::Sender<bool>,
}

impl TestServer {
    async fn start(limits: HttpLimits) -> Self {
        let handler = Arc::new(LimitedHandler(Mutex::new(limits)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let addr = listener.local_addr().expect("address");
        let (stop, stopped) = watch::channel(false);
        let shared: Arc<dyn HttpHandler> = Arc::clone(&handler) as Arc<dyn HttpHandler>;
        tokio::spawn(serve_http(listener, shared, stopped));
        let connection = TcpStream::connect(addr).await.expect("connection");
        let mut server = Self {
            handler,
            connection,
            _stop: stop,
        };
        assert_eq!(server.request(10, Duration::ZERO).await, Some(200));
        server
    }

    fn set_limits(&self, limits: HttpLimits) {
        *self.handler.0.lock().expect("lock") = limits;
    }

    /// Sends a request whose body ends after `body_time`; returns its status, or `None` if the connection
    /// was closed.
    async fn request(&mut self, body_bytes: usize, body_time: Duration) -> Option<u16> {
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {body_bytes}\r\n\r\n");
        self.connection.write_all(head.as_bytes()).await.ok()?;
        sleep(body_time).await;
        // The server may have rejected the request already.
        let _ = self.connection.write_all(&vec![b'x'; body_bytes]).await;
        let mut response = [0; 1_024];
        let reading = self.connection.read(&mut response);
        let read = timeout(Duration::from_secs(5), reading).await.ok()?.ok()?;
        let text = String::from_utf8_lossy(&response[..read]).into_owned();
        text.split(' ').nth(1)?.parse().ok()
    }
}

fn limits() -> HttpLimits {
    HttpLimits {
        max_body_bytes: 100,
        idle_timeout_ms: 300,
        ..HttpLimits::default()
    }
}

macro_rules! changed_limits {
    ($($name:ident: $change:expr, $bytes:expr, $body_ms:expr => $before:expr, $after:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let (bytes, body_time) = ($bytes, Duration::from_millis($body_ms));
                let mut unchanged = TestServer::start(limits()).await;
                assert_eq!(unchanged.request(bytes, body_time).await, $before);
                let mut server = TestServer::start(limits()).await;
                let mut changed = limits();
                let change: fn(&mut HttpLimits) = $change;
                change(&mut changed);
                server.set_limits(changed);
                assert_eq!(server.request(bytes, body_time).await, $after);
            }
        )+
    };
}

// An open connection kept the limits of the version under which it was opened.
changed_limits! {
    a_longer_idle_timeout_is_in_force_on_an_open_connection:
        |limits| limits.idle_timeout_ms = 5_000, 10, 600 => Some(408), Some(200);
    a_shorter_idle_timeout_is_in_force_on_an_open_connection:
        |limits| limits.idle_timeout_ms = 50, 10, 200 => Some(200), Some(408);
    a_larger_body_limit_is_in_force_on_an_open_connection:
        |limits| limits.max_body_bytes = 1_000, 500, 0 => Some(413), Some(200);
    a_smaller_body_limit_is_in_force_on_an_open_connection:
        |limits| limits.max_body_bytes = 20, 50, 0 => Some(200), Some(413);
}

/// The idle timeout was taken as the time for the whole body.
#[tokio::test]
async fn a_slow_body_is_read_while_its_data_arrives() {
    let mut server = TestServer::start(limits()).await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n";
    server
        .connection
        .write_all(head.as_bytes())
        .await
        .expect("header");
    for _ in 0..10 {
        sleep(Duration::from_millis(100)).await;
        server.connection.write_all(b"x").await.expect("body");
    }
    let mut response = [0; 64];
    let read = server
        .connection
        .read(&mut response)
        .await
        .expect("response");
    let text = String::from_utf8_lossy(&response[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

/// The response was lost when the connection was closed while the client still sent its body.
#[tokio::test]
async fn a_client_that_is_still_sending_reads_its_rejection() {
    let server = TestServer::start(limits()).await;
    let mut connection = server.connection;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n";
    connection.write_all(head.as_bytes()).await.expect("header");
    for _ in 0..20 {
        sleep(Duration::from_millis(20)).await;
        connection.write_all(&[b'x'; 1_000]).await.expect("body");
    }
    let mut response = String::new();
    let reading = connection.read_to_string(&mut response);
    timeout(Duration::from_secs(5), reading)
        .await
        .expect("in time")
        .expect("response");
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

/// The buffer for headers can't be resized, so that the connection must be opened anew.
#[tokio::test]
async fn a_connection_with_another_header_limit_is_closed() {
    let mut server = TestServer::start(HttpLimits::default()).await;
    server.set_limits(HttpLimits {
        max_header_bytes: 32_768,
        ..HttpLimits::default()
    });
    let mut buffer = [0; 16];
    let closed = server.connection.read(&mut buffer);
    assert_eq!(
        timeout(IN_FORCE, closed).await.expect("closed").ok(),
        Some(0)
    );
}

#[tokio::test]
async fn an_open_connection_survives_a_change_of_other_limits() {
    let mut server = TestServer::start(HttpLimits::default()).await;
    server.set_limits(HttpLimits {
        idle_timeout_ms: 20_000,
        max_body_bytes: 1_000,
        ..HttpLimits::default()
    });
    sleep(IN_FORCE).await;
    assert_eq!(server.request(10, Duration::ZERO).await, Some(200));
}
