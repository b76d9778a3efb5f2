//! The published worker over HTTP, with faults to switch on.
//!
//! A task's spec says how many milliseconds it runs, and `fail` after that if it is to fail. Each beginning and
//! end of a run is a JSON line on standard output, with the time of a clock that all processes of a host share.

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
            work::{JobId, TaskId},
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
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Pause between looks at what has ended, in milliseconds.
const TICK_MS: u64 = 5;
/// Run time where the spec names none, in milliseconds.
const USUAL_RUN_MS: u64 = 50;

/// Faults that can be switched on by posting them to `/faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WorkerFaults {
    /// So many of a hundred orders are not answered, and carried out one to four seconds later.
    late_percent: u64,
    /// So many of a hundred runs fail.
    fail_percent: u64,
    /// Nothing ends by itself.
    hangs: bool,
    /// No call is answered or carried out.
    cut: bool,
    /// The worker says that it is about to end.
    draining: bool,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
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
    running: Mutex<BTreeMap<TaskId, u32>>,
}

/// Runs the stand-in until SIGTERM.
pub(crate) async fn run_site_worker(args: SiteWorkerArgs) -> Result<(), RunError> {
    let listener = TcpListener::bind(args.listen)
        .await
        .map_err(|error| RunError::Listen(args.listen, error))?;
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
        running: Mutex::default(),
    });
    let (_stop, stopped) = watch::channel(false);
    let handler: Arc<dyn HttpHandler> = Arc::<SiteWorker>::clone(&worker);
    tokio::spawn(serve_http(listener, handler, stopped));
    tokio::spawn(Arc::clone(&worker).report());
    tokio::spawn(Arc::clone(&worker).tick());
    stop_signal().await;
    worker.leave().await;
    Ok(())
}

fn read_task(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    Some(TaskId {
        job: JobId::parse(parts.next()?)?,
        step: parts.nth(1)?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    })
}

fn task_name(task: TaskId) -> String {
    format!("{}.0.{}.{}", task.job, task.step, task.index)
}

impl SiteWorker {
    fn model(&self) -> MutexGuard<'_, WorkerModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, WorkerFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says which runs began and ended since it was last asked.
    fn tell_changes(&self) {
        let mut model = self.model();
        let now = BootTimer.now();
        model.hangs = self.faults().hangs;
        model.advance(now);
        let at_work = model.at_work();
        let mut known = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let at_us = now.as_micros();
        let tell = |event: &str, task: &TaskId, number: u32| {
            println!(
                "{}",
                json!({"at_us": at_us, "event": event, "task": task_name(*task), "run": number})
            );
        };
        for (task, number) in known
            .iter()
            .filter(|(task, run)| at_work.get(task) != Some(run))
        {
            tell("end", task, *number);
        }
        for (task, number) in at_work
            .iter()
            .filter(|(task, run)| known.get(task) != Some(run))
        {
            tell("begin", task, *number);
        }
        *known = at_work;
    }

    async fn tick(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(TICK_MS)).await;
            self.tell_changes();
        }
    }

    async fn send(&self, path: String, body: String) {
        let sent = HttpClient::new()
            .send(Method::POST, self.args.agent, &path, &[], body)
            .await;
        if let Err(error) = sent {
            log::debug!(error:% = error; "the agent can't be reached");
        }
    }

    /// Tells the agent of itself, again and again.
    async fn report(self: Arc<Self>) {
        loop {
            let body = self.heartbeat();
            let path = format!("/v1/Instances.Heartbeat/{}", self.args.id);
            self.send(path, body.to_string()).await;
            sleep(Duration::from_millis(self.args.heartbeat_ms)).await;
        }
    }

    fn heartbeat(&self) -> Value {
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
            "born": model.life.born_unix_ms,
        })
    }

    async fn leave(&self) {
        let path = format!("/v1/Instances.Leave/{}", self.args.id);
        self.send(path, "{}".to_owned()).await;
    }

    fn start(&self, body: &OrderBody) -> HttpResponse {
        let Some(task) = read_task(&body.task) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let mut words = body.spec.split(' ');
        let run_ms = words
            .next()
            .and_then(|word| word.parse().ok())
            .unwrap_or(USUAL_RUN_MS);
        let fails = words.next() == Some("fail")
            || rand::rng().random_range(0..100) < self.faults().fail_percent;
        let how = if fails {
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
        let (answer, _) = self.model().start(BootTimer.now(), &call, run_ms, how);
        self.tell_changes();
        let reason = match answer {
            StartResponse::Accepted => return self.answer(StatusCode::OK, None),
            StartResponse::Fenced => "fence",
            StartResponse::NumberUsed => "old",
            StartResponse::Late => "late",
            StartResponse::NoRoom => "room",
            StartResponse::Unhealthy | StartResponse::Rejected | StartResponse::Unanswered => {
                "other"
            }
        };
        self.answer(StatusCode::CONFLICT, Some(reason))
    }

    fn answer(&self, status: StatusCode, reason: Option<&str>) -> HttpResponse {
        let mut body = json!({"clock_ms": self.model().clock_ms(BootTimer.now())});
        if let Some(reason) = reason {
            body["reason"] = json!(reason);
        }
        HttpResponse::json(status, body.to_string())
    }

    fn stop(&self, body: &OrderBody) -> HttpResponse {
        let Some(task) = read_task(&body.task) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let call = StopCall {
            worker: self.args.id.clone(),
            task,
            number: body.run,
            token: body.fencing_token,
        };
        let taken = self.model().stop(&call);
        self.tell_changes();
        if taken {
            self.answer(StatusCode::OK, None)
        } else {
            self.answer(StatusCode::CONFLICT, Some("fence"))
        }
    }

    /// Answers with both lists, at once or as soon as something has ended.
    async fn hold(&self, body: &OrderBody) -> HttpResponse {
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
            self.tell_changes();
            let answer = self.model().hold(BootTimer.now(), &call);
            let HoldResponse::RunList {
                clock_ms,
                running,
                ended,
                ..
            } = answer
            else {
                return self.answer(StatusCode::CONFLICT, Some("fence"));
            };
            if ended.is_empty() && Instant::now() < until {
                sleep(Duration::from_millis(TICK_MS)).await;
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
            let lists = json!({
                "clock_ms": clock_ms,
                "born": self.model().life.born_unix_ms,
                "running": running.collect::<Vec<_>>(),
                "finished": finished.collect::<Vec<_>>(),
            });
            return HttpResponse::json(StatusCode::OK, lists.to_string());
        }
    }

    async fn carry_out(&self, call: &HttpRequest) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<OrderBody>(&call.body) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        match call.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body).await,
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

#[async_trait]
impl HttpHandler for SiteWorker {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        if call.path == "/faults" {
            let Ok(faults) = serde_json::from_slice(&call.body) else {
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
            // Carried out later by a task of its own: the caller will have given up.
            let delay_ms = rand::rng().random_range(1_000..4_000);
            sleep(Duration::from_millis(delay_ms)).await;
            let _late = self.carry_out(&call).await;
            std::future::pending::<()>().await;
        }
        self.carry_out(&call).await
    }
}
