//! Runs tasks as HTTP requests to the backend server beside the agent.

use {
    crate::{
        core::{
            job::{TaskOutcome, TaskRef},
            message::StartFrame,
            verdict::{MayHaveRunReason, NotRunReason},
        },
        ports::BackendServer,
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    tokio::time::timeout,
};

/// Where tasks are posted.
pub(crate) const RUN_PATH: &str = "/run";
/// Where a running task's name is posted to stop it.
pub(crate) const STOP_PATH: &str = "/stop";
/// Names the task.
pub(crate) const TASK_HEADER: &str = "rattanslip-task";
/// Names the service.
pub(crate) const SERVICE_HEADER: &str = "rattanslip-service";
/// On a refusal: `1` says that the task did not run.
pub(crate) const NOT_RUN_HEADER: &str = "rattanslip-not-run";

/// The backend server at the address that it announced.
#[derive(Debug)]
pub(crate) struct HttpBackend {
    addr: Mutex<Option<SocketAddr>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpBackend {
    /// No backend server yet; at most `connections` idle connections are kept.
    pub(crate) fn new(connections: usize) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(connections)
            .build_http();
        Self {
            addr: Mutex::new(None),
            client,
        }
    }

    /// Takes in where the backend server listens.
    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        *self.lock_addr() = Some(addr);
    }

    fn lock_addr(&self) -> std::sync::MutexGuard<'_, Option<SocketAddr>> {
        self.addr
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn request(&self, path: &str, start: &StartFrame) -> Option<Request<Full<Bytes>>> {
        let addr = (*self.lock_addr())?;
        Request::post(format!("http://{addr}{path}"))
            .header(TASK_HEADER, start.task.to_string())
            .header(SERVICE_HEADER, &start.service)
            .body(Full::new(Bytes::from(start.input.clone())))
            .ok()
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> TaskOutcome {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return TaskOutcome::NotRun {
                    reason: NotRunReason::BackendDown,
                };
            }
            Err(_) => return backend_lost(),
        };
        let status = response.status();
        let refused = response
            .headers()
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "1");
        if refused && !status.is_success() {
            return TaskOutcome::NotRun {
                reason: NotRunReason::BackendRefused,
            };
        }
        let Ok(body) = response.into_body().collect().await else {
            return backend_lost();
        };
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        if status == StatusCode::OK {
            TaskOutcome::Done { output: text }
        } else {
            TaskOutcome::Failed { message: text }
        }
    }
}

const fn backend_lost() -> TaskOutcome {
    TaskOutcome::MayHaveRun {
        reason: MayHaveRunReason::BackendLost,
    }
}

#[async_trait]
impl BackendServer for HttpBackend {
    async fn run(&self, start: StartFrame) -> TaskOutcome {
        let Some(request) = self.request(RUN_PATH, &start) else {
            return TaskOutcome::NotRun {
                reason: NotRunReason::BackendDown,
            };
        };
        let deadline = Duration::from_millis(start.deadline_ms);
        match timeout(deadline, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_) => TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::DeadlinePassed,
            },
        }
    }

    async fn stop(&self, task: TaskRef) {
        let Some(addr) = *self.lock_addr() else {
            return;
        };
        let request = Request::post(format!("http://{addr}{STOP_PATH}"))
            .header(TASK_HEADER, task.to_string())
            .body(Full::new(Bytes::new()));
        if let Ok(request) = request {
            // Stopping is a courtesy: the task's own reply says how it ended.
            let _ = self.client.request(request).await;
        }
    }
}
