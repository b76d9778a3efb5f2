//! HTTP client of the platform's table and object store.

use {
    crate::{
        adapters::http::{
            BodyError, ConnectionPool, PoolSettings, PooledClient, read_body_with_idle_timeout,
        },
        ports::{
            Counter, Metrics, ObjectStore, Row, StoreError, Table, Transaction, TransactionOutcome,
        },
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::Full,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Idle timeout of connections, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 90_000;

/// The platform at one address.
#[derive(Debug)]
pub(crate) struct HttpStore {
    addr: SocketAddr,
    timeout_ms: u64,
    pool: ConnectionPool,
    metrics: Arc<dyn Metrics>,
}

impl HttpStore {
    /// Creates a client; a call fails if no part of its response arrives for `timeout_ms`.
    pub(crate) fn new(addr: SocketAddr, timeout_ms: u64, metrics: Arc<dyn Metrics>) -> Self {
        let pool = ConnectionPool::new(PoolSettings {
            connect_timeout_ms: None,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        });
        Self {
            addr,
            timeout_ms,
            pool,
            metrics,
        }
    }

    fn handle_timeout(&self, client: &PooledClient) -> StoreError {
        if self.pool.replace_connections(client) {
            self.metrics.count(Counter::ConnectionReplacements, "store");
        }
        StoreError::OutcomeUnknown("timed out".to_owned())
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        let limit = Duration::from_millis(self.timeout_ms);
        let client = self.pool.client();
        let Ok(response) = timeout(limit, client.request(request)).await else {
            return Err(self.handle_timeout(&client));
        };
        let response = response.map_err(|error| {
            if error.is_connect() {
                StoreError::Unavailable(error.to_string())
            } else {
                StoreError::OutcomeUnknown(error.to_string())
            }
        })?;
        let status = response.status();
        let body = match read_body_with_idle_timeout(response.into_body(), self.timeout_ms).await {
            Ok(body) => body,
            Err(BodyError::TimedOut) => return Err(self.handle_timeout(&client)),
            Err(BodyError::Lost(error)) => {
                return Err(StoreError::OutcomeUnknown(error.to_string()));
            }
        };
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(StoreError::Unavailable("the platform is down".to_owned()));
        }
        Ok((status, body))
    }

    /// Sends a call and counts its outcome.
    async fn send_counted(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let result = self.send(method, path, body).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::OutcomeUnknown(_)) => "outcome_unknown",
        };
        self.metrics.count(Counter::StoreCalls, outcome);
        result
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body)
        .map_err(|error| StoreError::OutcomeUnknown(format!("unreadable reply: {error}")))
}

fn unexpected(status: StatusCode) -> StoreError {
    StoreError::OutcomeUnknown(format!("unexpected status {status}"))
}

#[async_trait]
impl Table for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let path = format!("/table/rows/{key}");
        match self.send_counted(Method::GET, &path, String::new()).await? {
            (StatusCode::OK, body) => parse(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected(status)),
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        let path = format!("/table/scan/{prefix}");
        match self.send_counted(Method::GET, &path, String::new()).await? {
            (StatusCode::OK, body) => parse(&body),
            (status, _) => Err(unexpected(status)),
        }
    }

    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        let body = serde_json::to_string(&transaction)
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        match self
            .send_counted(Method::POST, "/table/transact", body)
            .await?
        {
            (StatusCode::OK, body) => parse(&body),
            (status, _) => Err(unexpected(status)),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn get_object(&self, name: &str) -> Result<Option<String>, StoreError> {
        let path = format!("/objects/{name}");
        match self.send_counted(Method::GET, &path, String::new()).await? {
            (StatusCode::OK, body) => String::from_utf8(body.to_vec())
                .map(Some)
                .map_err(|error| StoreError::OutcomeUnknown(error.to_string())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected(status)),
        }
    }

    async fn put_object(&self, name: &str, body: String) -> Result<(), StoreError> {
        let path = format!("/objects/{name}");
        match self.send_counted(Method::PUT, &path, body).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, _) => Err(unexpected(status)),
        }
    }
}
