//! Connections to one server.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Timeouts of a [`ConnectionPool`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSettings {
    /// Timeout of opening a connection, in milliseconds; `None` for that of the system.
    pub(crate) connect_timeout_ms: Option<u64>,
    /// Time after which an idle connection is closed, in milliseconds.
    pub(crate) idle_timeout_ms: u64,
}

/// Connections to one server; all of them are replaced after a timeout.
///
/// Open connections may go silent without a reset, usually all at once, while new ones work. If the
/// idle ones stayed in use after a timeout, each of them would cost another one.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    settings: PoolSettings,
    current: Mutex<PooledClient>,
}

/// A client whose connections were opened after the latest replacement.
#[derive(Debug, Clone)]
pub(crate) struct PooledClient {
    /// Number of replacements before.
    generation: u64,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ConnectionPool {
    /// Creates a pool without open connections.
    pub(crate) fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            current: Mutex::new(PooledClient::new(settings, 0)),
        }
    }

    /// The client for the next call.
    pub(crate) fn client(&self) -> PooledClient {
        self.lock_current().clone()
    }

    /// Replaces all connections after a call of this client has timed out; returns false if they have
    /// been replaced since the call was sent.
    ///
    /// Calls in flight go on on their connections, so that a server that is only slow loses none of
    /// them; concurrent timeouts replace the connections once.
    pub(crate) fn replace_connections(&self, timed_out: &PooledClient) -> bool {
        let mut current = self.lock_current();
        if current.generation != timed_out.generation {
            return false;
        }
        *current = PooledClient::new(self.settings, current.generation + 1);
        true
    }

    fn lock_current(&self) -> MutexGuard<'_, PooledClient> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledClient {
    fn new(settings: PoolSettings, generation: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(settings.connect_timeout_ms.map(Duration::from_millis));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(settings.idle_timeout_ms))
            .retry_canceled_requests(false)
            .build(connector);
        Self { generation, client }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.client.request(request).await
    }
}
