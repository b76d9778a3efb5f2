//! Runs tasks as HTTP requests to the backend server on the agent's host.

use {
    super::gated_connection::{GatedConnection, WriteGate},
    crate::{
        adapters::http::{ConnectionPool, PoolSettings},
        core::{
            gate::SharedPermit,
            job::{TaskOutcome, TaskRef},
            message::StartFrame,
            verdict::{MayHaveRunReason, NotRunReason},
        },
        ports::{BackendServer, TimerService},
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{Request, StatusCode, header::HOST},
    http_body_util::{BodyExt, Full},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, timeout, timeout_at},
};

pub(crate) const RUN_PATH: &str = "/run";
pub(crate) const STOP_PATH: &str = "/stop";
/// Header with the identity of the task.
pub(crate) const TASK_HEADER: &str = "rattanslip-task";
/// Header with the service.
pub(crate) const SERVICE_HEADER: &str = "rattanslip-service";
/// Header of an error response; `1` if the task did not run.
pub(crate) const NOT_RUN_HEADER: &str = "rattanslip-not-run";

/// Timeout of a stop request, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 1_000;
/// Idle timeout of the connections for stop requests, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 90_000;

/// Client of the backend server at its announced address.
#[derive(Debug)]
pub(crate) struct HttpBackend {
    addr: Mutex<Option<SocketAddr>>,
    permit: Arc<SharedPermit>,
    timer: Arc<dyn TimerService>,
    /// Idle connections and their addresses.
    idle: Mutex<Vec<(SocketAddr, GatedConnection)>>,
    max_idle_connections: usize,
    /// For requests that need no permit.
    pool: ConnectionPool,
}

impl HttpBackend {
    /// Creates a client without an address that retains at most `max_idle_connections`.
    pub(crate) fn new(
        max_idle_connections: usize,
        permit: Arc<SharedPermit>,
        timer: Arc<dyn TimerService>,
    ) -> Self {
        let pool = ConnectionPool::new(PoolSettings {
            connect_timeout_ms: None,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        });
        Self {
            addr: Mutex::new(None),
            permit,
            timer,
            idle: Mutex::default(),
            max_idle_connections,
            pool,
        }
    }

    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        *self.lock_addr() = Some(addr);
    }

    fn lock_addr(&self) -> std::sync::MutexGuard<'_, Option<SocketAddr>> {
        self.addr
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, GatedConnection)>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn request(addr: SocketAddr, start: &StartFrame) -> Option<Request<Full<Bytes>>> {
        Request::post(RUN_PATH)
            .header(HOST, addr.to_string())
            .header(TASK_HEADER, start.task.to_string())
            .header(SERVICE_HEADER, &start.service)
            .body(Full::new(Bytes::from(start.input.clone())))
            .ok()
    }

    /// Returns an idle connection or opens a new one.
    async fn connection(&self, addr: SocketAddr) -> Option<GatedConnection> {
        loop {
            let idle = self.lock_idle().pop();
            let Some((connected_to, mut connection)) = idle else {
                break;
            };
            if connected_to == addr && connection.is_usable().await {
                return Some(connection);
            }
        }
        let gate = WriteGate::new(Arc::clone(&self.permit), Arc::clone(&self.timer));
        GatedConnection::open(addr, gate).await.ok()
    }

    fn store_idle(&self, addr: SocketAddr, connection: GatedConnection) {
        let mut idle = self.lock_idle();
        if idle.len() < self.max_idle_connections {
            idle.push((addr, connection));
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: GatedConnection,
        request: Request<Full<Bytes>>,
    ) -> TaskOutcome {
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(_) => return failure_outcome(&connection.gate(), MayHaveRunReason::BackendLost),
        };
        let status = response.status();
        let refused = response
            .headers()
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "1");
        let body = response.into_body().collect().await;
        if body.is_ok() {
            self.store_idle(addr, connection);
        }
        if refused && !status.is_success() {
            return not_run(NotRunReason::BackendRefused);
        }
        let Ok(body) = body else {
            return TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::BackendLost,
            };
        };
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        if status == StatusCode::OK {
            TaskOutcome::Done { output: text }
        } else {
            TaskOutcome::Failed { message: text }
        }
    }
}

/// Outcome of a request without a response: "not run" if none of the request was written.
fn failure_outcome(gate: &WriteGate, reason: MayHaveRunReason) -> TaskOutcome {
    if !gate.refuse() {
        return TaskOutcome::MayHaveRun { reason };
    }
    not_run(if gate.is_permit_expired() {
        NotRunReason::NoPermit
    } else {
        NotRunReason::BackendDown
    })
}

const fn not_run(reason: NotRunReason) -> TaskOutcome {
    TaskOutcome::NotRun { reason }
}

#[async_trait]
impl BackendServer for HttpBackend {
    async fn run(&self, start: StartFrame) -> TaskOutcome {
        let addr = *self.lock_addr();
        let Some((addr, request)) =
            addr.and_then(|addr| Some((addr, Self::request(addr, &start)?)))
        else {
            return not_run(NotRunReason::BackendDown);
        };
        let deadline = Instant::now() + Duration::from_millis(start.deadline_ms);
        let connection = match timeout_at(deadline, self.connection(addr)).await {
            Ok(Some(connection)) => connection,
            Ok(None) => return not_run(NotRunReason::BackendDown),
            Err(_) => return not_run(NotRunReason::DeadlinePassed),
        };
        let gate = connection.gate();
        match timeout_at(deadline, self.exchange(addr, connection, request)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                // All open connections may have gone silent, not only this one.
                self.lock_idle().clear();
                failure_outcome(&gate, MayHaveRunReason::DeadlinePassed)
            }
        }
    }

    async fn stop(&self, task: TaskRef) {
        let Some(addr) = *self.lock_addr() else {
            return;
        };
        let request = Request::post(format!("http://{addr}{STOP_PATH}"))
            .header(TASK_HEADER, task.to_string())
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return;
        };
        // Best effort: the task's outcome comes with the response to its run request.
        let client = self.pool.client();
        let limit = Duration::from_millis(STOP_TIMEOUT_MS);
        if timeout(limit, client.request(request)).await.is_err() {
            self.pool.replace_connections(&client);
        }
    }
}
