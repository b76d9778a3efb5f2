//! HTTP stand-in for the platform's table and object store in standalone deployments, with fault
//! injection.

use {
    super::platform_store::PlatformStore,
    crate::{
        cli::{PlatformArgs, RunError, stop_signal},
        core::roster::ROSTER_PREFIX,
        ports::Transaction,
    },
    poem::{
        EndpointExt, IntoResponse, Response, Route, Server, get, handler,
        http::StatusCode,
        listener::TcpListener,
        post,
        web::{Data, Json, Path},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Injected faults, set by a POST to `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PlatformFaults {
    /// Reject every call.
    down: bool,
    /// Delay added to every call.
    slow_ms: u64,
    /// Number of writes to apply without sending a response; writes of roster rows are not
    /// counted, because entries write them at any time.
    lose_write_replies: u32,
}

/// Number of calls received since the process started.
#[derive(Debug, Clone, Default, Serialize)]
struct PlatformCalls {
    reads: u64,
    writes: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: PlatformStore,
    faults: PlatformFaults,
    calls: PlatformCalls,
}

#[derive(Debug, Default)]
struct Platform(Mutex<PlatformState>);

type Shared<'a> = Data<&'a Arc<Platform>>;

impl Platform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults; `Err` if the platform is down.
    async fn begin_call(&self, is_write: bool) -> Result<(), Response> {
        let faults = {
            let mut state = self.lock();
            if is_write {
                state.calls.writes += 1;
            } else {
                state.calls.reads += 1;
            }
            state.faults.clone()
        };
        sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        Ok(())
    }

    /// Whether to drop the response to the current write; uses up one injected fault.
    fn should_drop_response(&self) -> bool {
        let mut state = self.lock();
        if state.faults.lose_write_replies == 0 {
            return false;
        }
        state.faults.lose_write_replies -= 1;
        true
    }

    /// Returns the response to a write, or never completes if a fault drops it.
    async fn finish_write(&self, response: Response) -> Response {
        if self.should_drop_response() {
            std::future::pending::<()>().await;
        }
        response
    }
}

/// Runs the platform until SIGTERM.
pub(crate) async fn run_platform(args: PlatformArgs) -> Result<(), RunError> {
    let routes = Route::new()
        .at("/table/rows/:key", get(get_row))
        .at("/table/scan/:prefix", get(scan))
        .at("/table/transact", post(transact))
        .at("/objects/:name", get(get_object).put(put_object))
        .at("/faults", post(set_faults))
        .at("/calls", get(calls))
        .data(Arc::new(Platform::default()));
    Server::new(TcpListener::bind(args.listen))
        .run_with_graceful_shutdown(routes, stop_signal(), Some(Duration::from_secs(1)))
        .await
        .map_err(|error| RunError::Listen(args.listen, error))
}

#[handler]
async fn get_row(platform: Shared<'_>, Path(key): Path<String>) -> Response {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    match platform.lock().store.get(&key) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn scan(platform: Shared<'_>, Path(prefix): Path<String>) -> Response {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    let rows = platform.lock().store.scan(&prefix);
    Json(rows).into_response()
}

#[handler]
async fn transact(platform: Shared<'_>, Json(transaction): Json<Transaction>) -> Response {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    let keys = transaction.puts.iter().map(|put| &put.key);
    let is_roster_write =
        !transaction.puts.is_empty() && keys.into_iter().all(|key| key.starts_with(ROSTER_PREFIX));
    let outcome = platform.lock().store.transact(transaction);
    let response = Json(outcome).into_response();
    if is_roster_write {
        return response;
    }
    platform.finish_write(response).await
}

#[handler]
async fn get_object(platform: Shared<'_>, Path(name): Path<String>) -> Response {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    match platform.lock().store.object(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn put_object(platform: Shared<'_>, Path(name): Path<String>, body: String) -> Response {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    platform.lock().store.put_object(name, body);
    platform.finish_write(StatusCode::OK.into_response()).await
}

#[handler]
fn set_faults(platform: Shared<'_>, Json(faults): Json<PlatformFaults>) -> StatusCode {
    platform.lock().faults = faults;
    StatusCode::OK
}

#[handler]
fn calls(platform: Shared<'_>) -> Json<PlatformCalls> {
    Json(platform.lock().calls.clone())
}
