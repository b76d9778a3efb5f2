//! The published table store over HTTP, with faults to switch on.

use {
    super::rows_model::{Applied, FeedPage, RowName, RowsModel, StoredRow},
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

/// Longest body that is taken, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Faults that can be switched on by posting them to `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StoreFaults {
    /// Every call is refused.
    down: bool,
    /// No call is answered.
    silent: bool,
    /// Every call takes this much longer.
    slow_ms: u64,
    /// The answers of this many transactions are lost after they took effect.
    lose_answers: u32,
    /// Calls that touch one of these parts, of any table, are refused.
    down_parts: Vec<String>,
    /// Forget all changes once.
    forget_history: bool,
}

#[derive(Debug, Deserialize)]
struct NameBody {
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
    expect_rev: Vec<NameBody>,
    puts: Vec<NameBody>,
    remove: Vec<NameBody>,
}

#[derive(Debug, Default)]
struct SiteStore {
    rows: Mutex<RowsModel>,
    faults: Mutex<StoreFaults>,
    changed: Notify,
}

/// Runs the stand-in until SIGTERM.
pub(crate) async fn run_site_store(args: PlatformArgs) -> Result<(), RunError> {
    let listener = TcpListener::bind(args.listen)
        .await
        .map_err(|error| RunError::Listen(args.listen, error))?;
    let (_stop, stopped) = watch::channel(false);
    let store = std::sync::Arc::new(SiteStore::default());
    tokio::spawn(serve_http(listener, store, stopped));
    stop_signal().await;
    Ok(())
}

fn name(body: &NameBody) -> RowName {
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

/// A value of the query, empty if absent.
fn query<'a>(call: &'a HttpRequest, field: &str) -> &'a str {
    let mut fields = call
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    fields
        .find(|(name, _)| *name == field)
        .map_or("", |(_, value)| value)
}

/// The parts that a call reads or writes.
fn parts(call: &HttpRequest) -> Vec<String> {
    match call.path.as_str() {
        "/v1/rows-get" => vec![query(call, "part").to_owned()],
        "/v1/rows-tx" => {
            // A body that can't be read is refused by the call itself.
            let body: TransactionBody = serde_json::from_slice(&call.body).unwrap_or_default();
            let rows = body.expect_rev.iter().chain(&body.puts).chain(&body.remove);
            rows.map(|row| row.part.clone()).collect()
        }
        _ => Vec::new(),
    }
}

impl SiteStore {
    fn rows(&self) -> MutexGuard<'_, RowsModel> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &HttpRequest) -> HttpResponse {
        let Ok(faults) = serde_json::from_slice::<StoreFaults>(&call.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if faults.forget_history {
            self.rows().forget_history();
            self.changed.notify_waiters();
        }
        *self.faults() = faults;
        HttpResponse::empty(StatusCode::OK)
    }

    fn transact(&self, call: &HttpRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<TransactionBody>(&call.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let expected: Vec<_> = body
            .expect_rev
            .iter()
            .map(|row| (name(row), row.ver))
            .collect();
        let puts = body
            .puts
            .iter()
            .map(|row| (name(row), row.value.clone()))
            .collect();
        let removed = body.remove.iter().map(name).collect();
        let mut rows = self.rows();
        let status = match rows.apply(&expected, puts, removed) {
            Applied::Yes => StatusCode::OK,
            Applied::No => StatusCode::PRECONDITION_FAILED,
        };
        self.changed.notify_waiters();
        let body = json!({"ver": rows.version(), "now_ms": 0});
        HttpResponse::json(status, body.to_string())
    }

    fn read(&self, call: &HttpRequest) -> HttpResponse {
        let rows = self.rows();
        let page = rows.rows(query(call, "table"), query(call, "part"));
        let page: Vec<Value> = page
            .iter()
            .map(|(name, row)| row_json(name, Some(row)))
            .collect();
        let body = json!({"rows": page, "truncated": false, "ver": rows.version(), "now_ms": 0});
        HttpResponse::json(StatusCode::OK, body.to_string())
    }

    /// The changes after a version, as soon as there is one or the wait is over.
    async fn feed(&self, call: &HttpRequest) -> HttpResponse {
        let number = |field| query(call, field).parse::<u64>().unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if let Some(answer) = self.feed_page(query(call, "table"), after) {
                    return answer;
                }
                changed.await;
            }
        };
        let nothing = || {
            let body = json!({"rows": [], "ver": self.rows().version(), "now_ms": 0});
            HttpResponse::json(StatusCode::OK, body.to_string())
        };
        timeout(wait, waiting).await.unwrap_or_else(|_| nothing())
    }

    fn feed_page(&self, table: &str, after: u64) -> Option<HttpResponse> {
        let rows = self.rows();
        match rows.feed(table, after) {
            FeedPage::Forgotten => Some(HttpResponse::empty(StatusCode::GONE)),
            FeedPage::Changes(page) if page.is_empty() => None,
            FeedPage::Changes(page) => {
                let page = page.iter().map(|(name, row)| row_json(name, row.as_ref()));
                let page: Vec<Value> = page.collect();
                let body = json!({"rows": page, "ver": rows.version(), "now_ms": 0});
                Some(HttpResponse::json(StatusCode::OK, body.to_string()))
            }
        }
    }

    /// Waits as the faults say; `Some` if the call gets no further.
    async fn hindrance(&self, call: &HttpRequest) -> Option<HttpResponse> {
        let faults = self.faults().clone();
        sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let is_down = |part: &String| parts(call).contains(part);
        (faults.down || faults.down_parts.iter().any(is_down))
            .then(|| HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults();
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }
}

#[async_trait]
impl HttpHandler for SiteStore {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        if call.path == "/faults" {
            return self.set_faults(&call);
        }
        if let Some(refusal) = self.hindrance(&call).await {
            return refusal;
        }
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/rows-tx") => {
                let answer = self.transact(&call);
                if self.loses_answer() {
                    std::future::pending::<()>().await;
                }
                answer
            }
            (&Method::GET, "/v1/rows-get") => self.read(&call),
            (&Method::GET, "/v1/rows-feed") => self.feed(&call).await,
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
