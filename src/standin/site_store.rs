//! HTTP stand-in for the platform's table store in site deployments, with fault injection.

use {
    super::rows_model::{ApplyOutcome, FeedPage, RowName, RowsModel, StoredRow},
    crate::{
        adapters::http::{HttpHandler, HttpRequest, HttpResponse, serve_http},
        cli::{PlatformArgs, RunError, stop_signal},
        core::routes::HttpLimits,
    },
    async_trait::async_trait,
    http::{Method, StatusCode},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
};

/// Maximum request body size.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Injected faults, set by a POST to `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StoreFaults {
    /// Reject every request.
    down: bool,
    /// Leave every request without a response.
    silent: bool,
    /// Delay added to every request.
    slow_ms: u64,
    /// Number of transactions to apply without sending a response.
    lose_answers: u32,
    /// Reject requests that touch one of these parts of any table.
    down_parts: Vec<String>,
    /// Clear the change history once.
    forget_history: bool,
}

#[derive(Debug, Deserialize)]
struct TransactionRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TransactionBody {
    expect_rev: Vec<TransactionRow>,
    puts: Vec<TransactionRow>,
    remove: Vec<TransactionRow>,
}

#[derive(Debug, Default)]
struct SiteStoreServer {
    rows: Mutex<RowsModel>,
    faults: Mutex<StoreFaults>,
    changed: Notify,
}

/// Runs the table store until SIGTERM.
pub(crate) async fn run_site_store(args: PlatformArgs) -> Result<(), RunError> {
    let listener = TcpListener::bind(args.listen)
        .await
        .map_err(|error| RunError::Listen(args.listen, error))?;
    let (_stop, stopped) = watch::channel(false);
    let store = std::sync::Arc::new(SiteStoreServer::default());
    tokio::spawn(serve_http(listener, store, stopped));
    stop_signal().await;
    Ok(())
}

fn row_name(body: &TransactionRow) -> RowName {
    RowName {
        table: body.table.clone(),
        part: body.part.clone(),
        key: body.key.clone(),
    }
}

fn row_json(name: &RowName, row: Option<&StoredRow>) -> Value {
    let mut body = json!({"table": name.table, "part": name.part, "key": name.key});
    match row {
        Some(row) => {
            body["value"] = json!(row.value);
            body["ver"] = json!(row.version);
        }
        None => body["deleted"] = json!(true),
    }
    body
}

/// A query parameter, or an empty string if absent.
fn query_value<'a>(request: &'a HttpRequest, field: &str) -> &'a str {
    let mut fields = request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    fields
        .find(|(name, _)| *name == field)
        .map_or("", |(_, value)| value)
}

/// The parts that a request reads or writes.
fn touched_parts(request: &HttpRequest) -> Vec<String> {
    match request.path.as_str() {
        "/v1/rows-get" => vec![query_value(request, "part").to_owned()],
        "/v1/rows-tx" => {
            // The transaction handler rejects an invalid body.
            let body: TransactionBody = serde_json::from_slice(&request.body).unwrap_or_default();
            let rows = body.expect_rev.iter().chain(&body.puts).chain(&body.remove);
            rows.map(|row| row.part.clone()).collect()
        }
        _ => Vec::new(),
    }
}

impl SiteStoreServer {
    fn rows(&self) -> MutexGuard<'_, RowsModel> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpResponse {
        let Ok(faults) = serde_json::from_slice::<StoreFaults>(&request.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if faults.forget_history {
            self.rows().clear_history();
            self.changed.notify_waiters();
        }
        *self.faults() = faults;
        HttpResponse::empty(StatusCode::OK)
    }

    fn transact(&self, request: &HttpRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<TransactionBody>(&request.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let expected: Vec<_> = body
            .expect_rev
            .iter()
            .map(|row| (row_name(row), row.ver))
            .collect();
        let puts = body
            .puts
            .iter()
            .map(|row| (row_name(row), row.value.clone()))
            .collect();
        let removed = body.remove.iter().map(row_name).collect();
        let mut rows = self.rows();
        let status = match rows.apply(&expected, puts, removed) {
            ApplyOutcome::Committed => StatusCode::OK,
            ApplyOutcome::Conflict => StatusCode::PRECONDITION_FAILED,
        };
        self.changed.notify_waiters();
        let body = json!({"ver": rows.version(), "now_ms": 0});
        HttpResponse::json(status, body.to_string())
    }

    fn read_part(&self, request: &HttpRequest) -> HttpResponse {
        let rows = self.rows();
        let page = rows.part_rows(query_value(request, "table"), query_value(request, "part"));
        let page: Vec<Value> = page
            .iter()
            .map(|(name, row)| row_json(name, Some(row)))
            .collect();
        let body = json!({"rows": page, "truncated": false, "ver": rows.version(), "now_ms": 0});
        HttpResponse::json(StatusCode::OK, body.to_string())
    }

    /// Long-polls for changes after a version; returns an empty page on timeout.
    async fn feed(&self, request: &HttpRequest) -> HttpResponse {
        let parse_number = |field| query_value(request, field).parse::<u64>().unwrap_or(0);
        let (after, wait) = (
            parse_number("after"),
            Duration::from_millis(parse_number("wait_ms")),
        );
        let next_page = async {
            loop {
                let changed = self.changed.notified();
                if let Some(response) = self.feed_page(query_value(request, "table"), after) {
                    return response;
                }
                changed.await;
            }
        };
        let empty_page = || {
            let body = json!({"rows": [], "ver": self.rows().version(), "now_ms": 0});
            HttpResponse::json(StatusCode::OK, body.to_string())
        };
        timeout(wait, next_page)
            .await
            .unwrap_or_else(|_| empty_page())
    }

    fn feed_page(&self, table: &str, after: u64) -> Option<HttpResponse> {
        let rows = self.rows();
        match rows.feed(table, after) {
            FeedPage::Truncated => Some(HttpResponse::empty(StatusCode::GONE)),
            FeedPage::Changes(page) if page.is_empty() => None,
            FeedPage::Changes(page) => {
                let page = page.iter().map(|(name, row)| row_json(name, row.as_ref()));
                let page: Vec<Value> = page.collect();
                let body = json!({"rows": page, "ver": rows.version(), "now_ms": 0});
                Some(HttpResponse::json(StatusCode::OK, body.to_string()))
            }
        }
    }

    /// Delays the request or leaves it pending, as the faults require; returns `Some` if a fault
    /// rejects it.
    async fn apply_faults(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let faults = self.faults().clone();
        sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let is_down = |part: &String| touched_parts(request).contains(part);
        (faults.down || faults.down_parts.iter().any(is_down))
            .then(|| HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn should_drop_response(&self) -> bool {
        let mut faults = self.faults();
        let should_drop = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        should_drop
    }
}

#[async_trait]
impl HttpHandler for SiteStoreServer {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if request.path == "/faults" {
            return self.set_faults(&request);
        }
        if let Some(rejection) = self.apply_faults(&request).await {
            return rejection;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/rows-tx") => {
                let response = self.transact(&request);
                if self.should_drop_response() {
                    std::future::pending::<()>().await;
                }
                response
            }
            (&Method::GET, "/v1/rows-get") => self.read_part(&request),
            (&Method::GET, "/v1/rows-feed") => self.feed(&request).await,
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits {
            max_body_bytes: MAX_BODY_BYTES,
            ..HttpLimits::default()
        }
    }
}
