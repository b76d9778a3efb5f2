//! HTTP client of the platform's table and object store.

use {
    crate::{
        adapters::http::read_body_with_idle_timeout,
        ports::{
            Counter, Metrics, ObjectStore, Row, StoreError, Table, Transaction, TransactionOutcome,
        },
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::Full,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The platform at one address.
#[derive(Debug)]
pub(crate) struct HttpStore {
    addr: SocketAddr,
    timeout_ms: u64,
    client: Client<HttpConnector, Full<Bytes>>,
    metrics: Arc<dyn Metrics>,
}

impl HttpStore {
    /// Creates a client; a call fails if no part of its response arrives for `timeout_ms`.
    pub(crate) fn new(addr: SocketAddr, timeout_ms: u64, metrics: Arc<dyn Metrics>) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            addr,
            timeout_ms,
            client,
            metrics,
        }
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
        let response = timeout(limit, self.client.request(request)).await;
        let response = response
            .map_err(|_| StoreError::OutcomeUnknown("timed out".to_owned()))?
            .map_err(|error| {
                if error.is_connect() {
                    StoreError::Unavailable(error.to_string())
                } else {
                    StoreError::OutcomeUnknown(error.to_string())
                }
            })?;
        let status = response.status();
        let body = read_body_with_idle_timeout(response.into_body(), self.timeout_ms).await;
        let body = body.map_err(StoreError::OutcomeUnknown)?;
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
