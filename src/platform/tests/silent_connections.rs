//! Tests of calls over connections that have gone silent without a reset.

use {
    super::metrics,
    crate::{
        adapters::platform::HttpStore,
        core::execution::{HoldCall, HoldResponse},
        platform::{HttpWorkerClient, PlatformHttpClient, RowsStore},
        ports::{ObjectStore, SiteStore, WorkerClient},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Idle connections at the time of the silence.
const IDLE_CONNECTIONS: usize = 4;
/// Time that a call takes, so that concurrent calls open a connection each.
const CALL_MS: u64 = 30;
/// Timeout of a call of the standalone deployment's store.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// A server on which open connections can go silent.
#[derive(Debug, Clone)]
struct Server {
    addr: SocketAddr,
    /// Number of connections that were opened.
    opened: Arc<AtomicU64>,
    /// Connections with lower numbers deliver nothing any more.
    silent_below: Arc<AtomicU64>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let server = Self {
            addr: listener.local_addr().expect("address"),
            opened: Arc::default(),
            silent_below: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(accepting.clone().serve(socket, number));
            }
        });
        server
    }

    async fn serve(self, mut socket: TcpStream, number: u64) {
        let mut buffer = [0; 4_096];
        loop {
            let Ok(length @ 1..) = socket.read(&mut buffer).await else {
                return;
            };
            let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
            let wait_ms = if request.contains("rows-feed") {
                1_500
            } else {
                CALL_MS
            };
            sleep(Duration::from_millis(wait_ms)).await;
            if number < self.silent_below.load(Ordering::SeqCst) {
                continue;
            }
            let body = r#"{"rows":[],"ver":1,"clock_ms":1}"#;
            let length = body.len();
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            if socket.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Lets all open connections go silent.
    fn silence(&self) {
        self.silent_below.store(self.opened(), Ordering::SeqCst);
    }

    fn client(&self) -> PlatformHttpClient {
        PlatformHttpClient::new(self.addr, "store", metrics())
    }

    /// A store of a site with idle connections.
    async fn site_store(&self) -> Arc<RowsStore> {
        let store = Arc::new(RowsStore::new(self.client()));
        self.open_connections(|| {
            let store = Arc::clone(&store);
            async move { store.read_operator_rows().await.is_ok() }
        })
        .await;
        store
    }

    /// Makes concurrent calls until each of the idle connections is open.
    async fn open_connections<F>(&self, call: impl Fn() -> F)
    where
        F: Future<Output = bool> + Send + 'static,
    {
        let calls: Vec<_> = (0..IDLE_CONNECTIONS)
            .map(|_| tokio::spawn(call()))
            .collect();
        for call in calls {
            assert!(call.await.expect("call"));
        }
        assert_eq!(self.opened(), IDLE_CONNECTIONS as u64);
    }

    /// Results of calls one after the other, the first of which goes out on a silent connection.
    async fn call_after_silence<F>(&self, call: impl Fn() -> F) -> Vec<bool>
    where
        F: Future<Output = bool>,
    {
        self.silence();
        let mut results = Vec::new();
        for _ in 0..3 {
            results.push(call().await);
        }
        results
    }
}

/// Each idle connection that had gone silent cost another timeout, and a change was read seconds late.
#[tokio::test]
async fn silent_connections_to_the_store_cost_one_timeout() {
    let server = Server::start().await;
    let store = server.site_store().await;
    let results = server
        .call_after_silence(|| async { store.read_operator_rows().await.is_ok() })
        .await;
    assert_eq!(results, [false, true, true]);
}

/// The worker's lease expires while calls wait on one silent connection after the other.
#[tokio::test]
async fn silent_connections_to_a_worker_cost_one_timeout() {
    let server = Server::start().await;
    let worker = Arc::new(HttpWorkerClient::new(server.client()));
    let call = || {
        let worker = Arc::clone(&worker);
        let call = HoldCall {
            sequence: 1,
            worker: "w".to_owned(),
            token: 1,
            last_seen_end: 0,
            lease_until_ms: None,
            // Leaves time for the response on a busy machine.
            wait_ms: 1_000,
        };
        async move { matches!(worker.hold(&call).await, HoldResponse::RunList { .. }) }
    };
    server.open_connections(call).await;
    assert_eq!(server.call_after_silence(call).await, [false, true, true]);
}

/// The same in the standalone deployment.
#[tokio::test]
async fn silent_connections_to_the_object_store_cost_one_timeout() {
    let server = Server::start().await;
    let store = Arc::new(HttpStore::new(server.addr, STORE_TIMEOUT_MS, metrics()));
    let call = || {
        let store = Arc::clone(&store);
        async move { store.get_object("document").await.is_ok() }
    };
    server.open_connections(call).await;
    assert_eq!(server.call_after_silence(call).await, [false, true, true]);
}

/// Concurrent timeouts must not replace the connections again and again: a slow server would get a
/// new connection for each call.
#[tokio::test]
async fn concurrent_timeouts_replace_the_connections_once() {
    let server = Server::start().await;
    let store = server.site_store().await;
    server.silence();
    let read = |delay_ms| {
        let store = Arc::clone(&store);
        async move {
            sleep(Duration::from_millis(delay_ms)).await;
            store.read_operator_rows().await.is_ok()
        }
    };
    let [first, second, third] = [0, 250, 500].map(|delay_ms| tokio::spawn(read(delay_ms)));
    assert!(!first.await.expect("call"));
    // The other calls time out meanwhile.
    for _ in 0..10 {
        assert!(read(50).await);
    }
    assert!(!second.await.expect("call"));
    assert!(!third.await.expect("call"));
    assert_eq!(server.opened(), IDLE_CONNECTIONS as u64 + 1);
}

/// A server that is slow in one response only must not lose the calls in flight.
#[tokio::test]
async fn a_call_in_flight_completes_after_another_timed_out() {
    let server = Server::start().await;
    let store = server.site_store().await;
    server.silence();
    let read = {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.read_operator_rows().await.is_ok() })
    };
    sleep(Duration::from_millis(5)).await;
    // The connection of the feed call is silent until the read has timed out.
    let feed = tokio::spawn(async move { store.wait_for_operator_change(1, 1_400).await.is_ok() });
    sleep(Duration::from_millis(1_200)).await;
    server.silent_below.store(0, Ordering::SeqCst);
    assert!(!read.await.expect("read"));
    assert!(feed.await.expect("feed"));
}
