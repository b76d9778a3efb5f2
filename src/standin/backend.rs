//! Stand-in for a backend server: runs tasks by sleeping and records every start.

use {
    crate::{
        adapters::{
            backend::{NOT_RUN_HEADER, RUN_PATH, STOP_PATH, TASK_HEADER},
            http::{BackendBody, HttpClient},
        },
        cli::{BackendArgs, RunError, stop_signal},
    },
    poem::{
        EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler,
        http::{Method, StatusCode},
        listener::TcpListener,
        post,
        web::{Data, Json},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::Semaphore,
        time::{Instant, interval, sleep},
    },
};

/// Interval between announcements to the agent.
const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// Injected faults, set by a POST to `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct BackendFaults {
    /// Fail every task immediately.
    fail_all: bool,
    /// Reject every task as not run.
    refuse_all: bool,
    /// Multiplier for the run time of every task; zero counts as one.
    slow_factor: u32,
    /// Announce that the server is leaving and accepts no new work.
    leaving: bool,
    /// Stop sending announcements.
    silent: bool,
}

/// One start of a task.
#[derive(Debug, Clone, Serialize)]
struct StartRecord {
    task: String,
    /// Start time as a Unix timestamp in milliseconds.
    at_unix_ms: u128,
    /// Start time as a Unix timestamp in microseconds.
    at_unix_us: u128,
    /// Run time; zero until the task has finished.
    ran_us: u128,
}

#[derive(Debug, Default)]
struct BackendState {
    faults: BackendFaults,
    starts: Vec<StartRecord>,
    stops: BTreeMap<String, u32>,
}

/// State shared by the request handlers.
#[derive(Debug)]
struct Backend {
    state: Mutex<BackendState>,
    /// Limits concurrent tasks; further tasks wait for a slot.
    slots: Semaphore,
}

type Shared<'a> = Data<&'a Arc<Backend>>;

impl Backend {
    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start and returns its index.
    fn record_start(&self, task: String) -> usize {
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut state = self.lock();
        state.starts.push(StartRecord {
            task,
            at_unix_ms: at.as_millis(),
            at_unix_us: at.as_micros(),
            ran_us: 0,
        });
        state.starts.len() - 1
    }

    fn record_run_time(&self, index: usize, run_time: Duration) {
        if let Some(record) = self.lock().starts.get_mut(index) {
            record.ran_us = run_time.as_micros();
        }
    }
}

/// Runs the backend server until SIGTERM.
pub(crate) async fn run_backend(args: BackendArgs) -> Result<(), RunError> {
    let backend = Arc::new(Backend {
        state: Mutex::default(),
        slots: Semaphore::new(usize::from(args.slots)),
    });
    let routes = Route::new()
        .at(RUN_PATH, post(run))
        .at(STOP_PATH, post(stop))
        .at("/faults", post(set_faults))
        .at("/starts", get(starts))
        .data(Arc::clone(&backend));
    let listen = args.listen;
    tokio::spawn(announce(args, backend));
    Server::new(TcpListener::bind(listen))
        .run_with_graceful_shutdown(routes, stop_signal(), None)
        .await
        .map_err(|error| RunError::Listen(listen, error))
}

async fn announce(args: BackendArgs, backend: Arc<Backend>) {
    let client = HttpClient::new();
    let mut ticks = interval(Duration::from_millis(ANNOUNCE_INTERVAL_MS));
    loop {
        ticks.tick().await;
        let faults = backend.lock().faults.clone();
        if faults.silent {
            continue;
        }
        let body = BackendBody {
            addr: args.listen,
            services: args.services.clone(),
            slots: args.announced_slots.unwrap_or(args.slots),
            leaving: faults.leaving,
        };
        let Ok(body) = serde_json::to_string(&body) else {
            return;
        };
        // The next tick retries if the agent is not up yet.
        let _ = client
            .send(
                Method::POST,
                args.agent,
                "/v1/backend",
                &[("content-type", "application/json")],
                body,
            )
            .await;
    }
}

/// Runs a task: its input is `MILLISECONDS TEXT`, its output is `TEXT`.
#[handler]
async fn run(backend: Shared<'_>, request: &Request, input: String) -> Response {
    let task = request.header(TASK_HEADER).unwrap_or_default().to_owned();
    let faults = backend.lock().faults.clone();
    if faults.refuse_all {
        return Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(NOT_RUN_HEADER, "1")
            .finish();
    }
    let Ok(_slot) = backend.slots.acquire().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let started_at = Instant::now();
    let record = backend.record_start(task);
    if faults.fail_all {
        return (StatusCode::INTERNAL_SERVER_ERROR, "told to fail").into_response();
    }
    let (work_ms, output) = input.split_once(' ').unwrap_or((input.as_str(), ""));
    let Ok(work_ms) = work_ms.parse::<u64>() else {
        let message = "the input begins with a number of milliseconds";
        return (StatusCode::BAD_REQUEST, message).into_response();
    };
    let factor = u64::from(faults.slow_factor.max(1));
    sleep(Duration::from_millis(work_ms * factor)).await;
    backend.record_run_time(record, started_at.elapsed());
    output.to_owned().into_response()
}

#[handler]
fn stop(backend: Shared<'_>, request: &Request) -> StatusCode {
    let task = request.header(TASK_HEADER).unwrap_or_default().to_owned();
    *backend.lock().stops.entry(task).or_default() += 1;
    StatusCode::OK
}

#[handler]
fn set_faults(backend: Shared<'_>, Json(faults): Json<BackendFaults>) -> StatusCode {
    backend.lock().faults = faults;
    StatusCode::OK
}

#[handler]
fn starts(backend: Shared<'_>) -> Json<Vec<StartRecord>> {
    Json(backend.lock().starts.clone())
}
