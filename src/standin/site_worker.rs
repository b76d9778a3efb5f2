//! HTTP stand-in for a worker in site deployments, with fault injection.
//!
//! A task's spec is its run time in milliseconds, optionally followed by `fail`. The start and end
//! of each run are printed as JSON lines with timestamps of the host's boot clock, which are
//! comparable across processes.

use {
    super::worker_model::WorkerModel,
    crate::{
        adapters::{
            http::{HttpClient, HttpHandler, HttpRequest, HttpResponse, serve_http},
            timer::BootTimer,
        },
        cli::{RunError, SiteWorkerArgs, stop_signal},
        core::{
            execution::{HoldCall, HoldResponse, StartCall, StartResponse, StopCall},
            link::RunOutcome,
            work::{JobNumber, TaskName},
        },
        ports::TimerService,
    },
    async_trait::async_trait,
    http::{Method, StatusCode},
    rand::RngExt,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::ErrorKind,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{Instant, sleep, timeout},
    },
};

/// Interval between checks for finished runs.
const POLL_INTERVAL_MS: u64 = 5;
/// Time after which a leaving worker ends without an acknowledgement, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// Interval between attempts to listen on an address that an earlier worker still uses.
const BIND_RETRY_MS: u64 = 5;
/// Header that names the worker for which a call is intended.
const EXPECTED_INSTANCE: &str = "rattanslip-expected-instance";
/// Run time if the spec gives none.
const DEFAULT_RUN_MS: u64 = 50;

/// Injected faults, set by a POST to `/faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WorkerFaults {
    /// Percentage of calls that get no response and are executed one to four seconds later.
    late_percent: u64,
    /// Percentage of runs that fail.
    fail_percent: u64,
    /// Let no run finish on its own.
    hangs: bool,
    /// Neither execute calls nor respond to them.
    cut: bool,
    /// Report the worker as draining.
    draining: bool,
}

#[derive(Debug, Deserialize)]
struct WorkerCallBody {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u32,
    #[serde(default)]
    spec: String,
    deadline_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug)]
struct SiteWorker {
    args: SiteWorkerArgs,
    model: Mutex<WorkerModel>,
    faults: Mutex<WorkerFaults>,
    /// Active runs whose start has been printed.
    logged_runs: Mutex<BTreeMap<TaskName, u32>>,
}

/// Runs the worker until SIGTERM.
pub(crate) async fn run_site_worker(args: SiteWorkerArgs) -> Result<(), RunError> {
    let bound = TcpListener::bind(args.listen).await;
    let is_awaited = args.wait_for_address
        && matches!(&bound, Err(error) if error.kind() == ErrorKind::AddrInUse);
    let listener = if is_awaited {
        None
    } else {
        Some(bound.map_err(|error| RunError::Listen(args.listen, error))?)
    };
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let born_unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    let model = WorkerModel::new(
        BootTimer.now(),
        args.id.clone(),
        born_unix_ms,
        0,
        usize::from(args.slots),
    );
    let worker = Arc::new(SiteWorker {
        args,
        model: Mutex::new(model),
        faults: Mutex::default(),
        logged_runs: Mutex::default(),
    });
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(Arc::clone(&worker).serve_calls(listener, stopped));
    tokio::spawn(Arc::clone(&worker).send_heartbeats());
    tokio::spawn(Arc::clone(&worker).poll_runs());
    stop_signal().await;
    worker.send_leave().await;
    Ok(())
}

fn parse_task(name: &str) -> Option<TaskName> {
    let mut parts = name.split('.');
    Some(TaskName {
        job: JobNumber::parse(parts.next()?)?,
        step: parts.nth(1)?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    })
}

fn task_name(task: TaskName) -> String {
    format!("{}.0.{}.{}", task.job, task.step, task.index)
}

impl SiteWorker {
    fn model(&self) -> MutexGuard<'_, WorkerModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, WorkerFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves calls on the listener, or on the listen address once that is free.
    async fn serve_calls(
        self: Arc<Self>,
        listener: Option<TcpListener>,
        stopped: watch::Receiver<bool>,
    ) {
        let mut bound = listener;
        let listener = loop {
            if let Some(listener) = bound {
                break listener;
            }
            sleep(Duration::from_millis(BIND_RETRY_MS)).await;
            bound = TcpListener::bind(self.args.listen).await.ok();
        };
        serve_http(listener, self, stopped).await;
    }

    /// Whether the call names another worker.
    fn is_misdirected(&self, request: &HttpRequest) -> bool {
        let expected = request.header(EXPECTED_INSTANCE);
        expected.is_some_and(|id| id != self.args.id)
    }

    /// Prints the runs that started or ended since the previous call.
    fn log_run_changes(&self) {
        let mut model = self.model();
        let now = BootTimer.now();
        model.hangs = self.faults().hangs;
        model.advance(now);
        let active_runs = model.active_runs();
        let mut logged = self
            .logged_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let at_us = now.as_micros();
        let print_event = |event: &str, task: &TaskName, number: u32| {
            println!(
                "{}",
                json!({"at_us": at_us, "event": event, "task": task_name(*task), "run": number})
            );
        };
        for (task, number) in logged
            .iter()
            .filter(|(task, run)| active_runs.get(task) != Some(run))
        {
            print_event("end", task, *number);
        }
        for (task, number) in active_runs
            .iter()
            .filter(|(task, run)| logged.get(task) != Some(run))
        {
            print_event("begin", task, *number);
        }
        *logged = active_runs;
    }

    async fn poll_runs(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            self.log_run_changes();
        }
    }

    async fn call_agent(&self, path: String, body: String) {
        let sent = HttpClient::new()
            .send(Method::POST, self.args.agent, &path, &[], body)
            .await;
        if let Err(error) = sent {
            log::debug!(error:% = error; "cannot reach the agent");
        }
    }

    async fn send_heartbeats(self: Arc<Self>) {
        loop {
            let body = self.heartbeat_body();
            let path = format!("/v1/Instances.Heartbeat/{}", self.args.id);
            self.call_agent(path, body.to_string()).await;
            sleep(Duration::from_millis(self.args.heartbeat_ms)).await;
        }
    }

    fn heartbeat_body(&self) -> Value {
        let draining = self.faults().draining;
        let mut model = self.model();
        model.draining = draining;
        model.reports += 1;
        json!({
            "service": self.args.service,
            "address": self.args.listen.to_string(),
            "zone": self.args.zone,
            "version": "v1",
            "slots": self.args.slots,
            "state": if model.draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0,
            "capacity": {"cpu": u32::from(self.args.slots) * 1_000, "mem_mb": 262_144, "gpu": 0},
            "labels": ["a", "r1"],
            "seq": model.reports,
            "born": model.incarnation.born_unix_ms,
        })
    }

    async fn send_leave(&self) {
        let path = format!("/v1/Instances.Leave/{}", self.args.id);
        let body = json!({"born": self.model().incarnation.born_unix_ms});
        let limit = Duration::from_millis(LEAVE_TIMEOUT_MS);
        if timeout(limit, self.call_agent(path, body.to_string()))
            .await
            .is_err()
        {
            log::debug!("the agent did not acknowledge that this worker leaves");
        }
    }

    fn start(&self, body: &WorkerCallBody) -> HttpResponse {
        let Some(task) = parse_task(&body.task) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let mut words = body.spec.split(' ');
        let run_ms = words
            .next()
            .and_then(|word| word.parse().ok())
            .unwrap_or(DEFAULT_RUN_MS);
        let fails = words.next() == Some("fail")
            || rand::rng().random_range(0..100) < self.faults().fail_percent;
        let outcome = if fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        let call = StartCall {
            worker: self.args.id.clone(),
            task,
            number: body.run,
            spec: Arc::from(body.spec.as_str()),
            lease_until_ms: body.deadline_ms.unwrap_or(0),
            token: body.fencing_token,
        };
        let (response, _) = self.model().start(BootTimer.now(), &call, run_ms, outcome);
        self.log_run_changes();
        let reason = match response {
            StartResponse::Accepted => return self.response(StatusCode::OK, None),
            StartResponse::Fenced => "fence",
            StartResponse::NumberUsed => "old",
            StartResponse::Late => "late",
            StartResponse::NoRoom => "room",
            StartResponse::Unhealthy
            | StartResponse::Rejected
            | StartResponse::Refused
            | StartResponse::Unanswered => "other",
        };
        self.response(StatusCode::CONFLICT, Some(reason))
    }

    fn response(&self, status: StatusCode, reason: Option<&str>) -> HttpResponse {
        let mut body = json!({"clock_ms": self.model().clock_ms(BootTimer.now())});
        if let Some(reason) = reason {
            body["reason"] = json!(reason);
        }
        HttpResponse::json(status, body.to_string())
    }

    fn stop(&self, body: &WorkerCallBody) -> HttpResponse {
        let Some(task) = parse_task(&body.task) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let call = StopCall {
            worker: self.args.id.clone(),
            task,
            number: body.run,
            token: body.fencing_token,
        };
        let accepted = self.model().stop(&call);
        self.log_run_changes();
        if accepted {
            self.response(StatusCode::OK, None)
        } else {
            self.response(StatusCode::CONFLICT, Some("fence"))
        }
    }

    /// Returns the run list when a run has ended, or after the requested wait.
    async fn hold(&self, body: &WorkerCallBody) -> HttpResponse {
        let until = Instant::now() + Duration::from_millis(body.wait_ms);
        let call = HoldCall {
            sequence: 0,
            worker: self.args.id.clone(),
            token: body.fencing_token,
            last_seen_end: body.last_seen,
            lease_until_ms: body.deadline_ms,
            wait_ms: body.wait_ms,
        };
        loop {
            self.log_run_changes();
            let response = self.model().hold(BootTimer.now(), &call);
            let HoldResponse::RunList {
                clock_ms,
                running,
                ended,
                ..
            } = response
            else {
                return self.response(StatusCode::CONFLICT, Some("fence"));
            };
            if ended.is_empty() && Instant::now() < until {
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                continue;
            }
            let running = running
                .iter()
                .map(|run| json!([task_name(run.task), run.number, "", 50]));
            let finished = ended.iter().map(|end| {
                json!([
                    end.sequence,
                    task_name(end.task),
                    end.number,
                    end.end.as_str(),
                    ""
                ])
            });
            let run_list = json!({
                "clock_ms": clock_ms,
                "born": self.model().incarnation.born_unix_ms,
                "running": running.collect::<Vec<_>>(),
                "finished": finished.collect::<Vec<_>>(),
            });
            return HttpResponse::json(StatusCode::OK, run_list.to_string());
        }
    }

    async fn execute(&self, request: &HttpRequest) -> HttpResponse {
        if self.is_misdirected(request) {
            return HttpResponse::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        let Ok(body) = serde_json::from_slice::<WorkerCallBody>(&request.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        match request.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body).await,
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

#[async_trait]
impl HttpHandler for SiteWorker {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if request.path == "/faults" {
            let Ok(faults) = serde_json::from_slice(&request.body) else {
                return HttpResponse::empty(StatusCode::BAD_REQUEST);
            };
            *self.faults() = faults;
            return HttpResponse::empty(StatusCode::OK);
        }
        let faults = *self.faults();
        if faults.cut {
            std::future::pending::<()>().await;
        }
        if rand::rng().random_range(0..100) < faults.late_percent {
            // The delay exceeds the caller's timeout.
            let delay_ms = rand::rng().random_range(1_000..4_000);
            sleep(Duration::from_millis(delay_ms)).await;
            let _late = self.execute(&request).await;
            std::future::pending::<()>().await;
        }
        self.execute(&request).await
    }
}
