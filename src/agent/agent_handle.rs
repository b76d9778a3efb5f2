//! Access to the home and runner loops for the other parts of the agent.

use {
    super::{
        home_loop::HomeInput,
        home_routes::{HomeRoute, HomeRoutes},
        home_starter::HomeStarter,
        runner_loop::{RunnerInput, RunnerSnapshot},
    },
    crate::{
        core::{
            home::HomeEvent,
            message::GateNotice,
            runner::RunnerEvent,
            ticket::{AgentId, TicketGrant},
            time::Instant,
        },
        ports::TimerService,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::{Notify, mpsc, oneshot},
};

/// Time without an announcement after which the backend server counts as unavailable, in milliseconds.
const BACKEND_TIMEOUT_MS: u64 = 3_000;

/// State shared by the agent's tasks, with the inputs of the home and runner loops.
#[derive(Debug)]
pub(crate) struct AgentHandle {
    pub(crate) id: AgentId,
    pub(crate) homes: HomeRoutes,
    pub(crate) starter: HomeStarter,
    /// Agents that entries last named as possible successors of this agent's homes.
    pub(crate) successors: Mutex<Vec<SocketAddr>>,
    pub(crate) home: mpsc::UnboundedSender<HomeInput>,
    pub(crate) runner: mpsc::UnboundedSender<RunnerInput>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) slots_limit: u16,
    /// Triggers an announcement before the next tick.
    pub(crate) announce_now: Notify,
    pub(crate) backend_announced_at: Mutex<Option<Instant>>,
}

impl AgentHandle {
    /// Records an announcement of the backend server.
    pub(crate) fn register_backend(&self, services: Vec<String>, slots: u16) {
        let is_new = self
            .lock_backend_announced_at()
            .replace(self.timer.now())
            .is_none();
        let slots = slots.min(self.slots_limit);
        self.notify_runner(RunnerEvent::BackendUp { services, slots });
        if is_new {
            log::info!("backend server registered");
            self.announce_now.notify_one();
        }
    }

    /// Removes the backend server after its leave call or a timeout.
    pub(crate) fn remove_backend(&self) {
        if self.lock_backend_announced_at().take().is_some() {
            log::info!("backend server removed");
            self.notify_runner(RunnerEvent::BackendUnavailable);
            self.announce_now.notify_one();
        }
    }

    /// Removes the backend server if its last announcement is older than `BACKEND_TIMEOUT_MS`.
    pub(crate) fn check_backend_timeout(&self) {
        let announced_at = *self.lock_backend_announced_at();
        if let Some(announced_at) = announced_at
            && self.timer.now().millis_since(announced_at) >= BACKEND_TIMEOUT_MS
        {
            self.remove_backend();
        }
    }

    /// Rejects new tasks and announces the shutdown, so that entries issue no more tickets of this
    /// home. Jobs with tickets issued earlier are accepted until the home has moved.
    pub(crate) fn start_shutdown(&self) {
        self.notify_runner(RunnerEvent::Shutdown);
        self.announce_now.notify_one();
    }

    /// Applies an entry's notice that task starts are allowed or stopped for this agent.
    pub(crate) fn apply_gate_notice(&self, notice: GateNotice) {
        self.notify_runner(RunnerEvent::PermitRenewed {
            sent_at: self.timer.now(),
            config_version: notice.config_version,
            zone_open: notice.zone_open,
            permit_ms: 0,
        });
        if notice.zone_open {
            // The permit is granted in the reply to an announcement.
            self.announce_now.notify_one();
        }
    }

    /// Sends an event to the runner loop.
    pub(crate) fn notify_runner(&self, event: RunnerEvent) {
        // The receiver is dropped only when the process exits.
        let _ = self.runner.send(RunnerInput::Event(event));
    }

    /// Sends an event to the loop of the agent's own home.
    pub(crate) fn notify_home(&self, event: HomeEvent) {
        // The receiver is dropped only when the process exits.
        let _ = self.home.send(HomeInput::Event(event));
    }

    /// Requests the runner's current state; `None` when its loop has stopped.
    pub(crate) async fn snapshot(&self) -> Option<RunnerSnapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.runner.send(RunnerInput::Snapshot(reply)).ok()?;
        snapshot.await.ok()
    }

    /// Requests tickets for the next announcement.
    pub(crate) async fn grant(&self, count: u32) -> Option<TicketGrant> {
        let (reply, grant) = oneshot::channel();
        self.home.send(HomeInput::Grant(count, reply)).ok()?;
        grant.await.ok()?
    }

    /// Returns homes of other processes that this process has adopted.
    pub(crate) fn adopted_homes(&self) -> Vec<AgentId> {
        let mut homes = self.homes.local_homes();
        homes.retain(|home| *home != self.id);
        homes
    }

    /// Records the agents that an entry named as successors; an empty list changes nothing.
    pub(crate) fn record_successors(&self, successors: &[SocketAddr]) {
        if !successors.is_empty() {
            successors.clone_into(&mut self.lock_successors());
        }
    }

    /// Returns the agents that may adopt this agent's homes.
    pub(crate) fn successors(&self) -> Vec<SocketAddr> {
        self.lock_successors().clone()
    }

    fn lock_successors(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.successors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts unfinished jobs in the homes of this process.
    pub(crate) async fn running_job_count(&self) -> usize {
        let mut total = 0;
        for home in self.homes.local_homes() {
            if let Some(HomeRoute::Local(inputs)) = self.homes.route(home) {
                total += running_jobs_at(&inputs).await;
            }
        }
        total
    }

    /// Returns whether a backend server is available and the agent isn't shutting down.
    pub(crate) async fn is_ready(&self) -> bool {
        self.snapshot()
            .await
            .is_some_and(|snapshot| !snapshot.services.is_empty() && !snapshot.leaving)
    }

    fn lock_backend_announced_at(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.backend_announced_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn running_jobs_at(home: &mpsc::UnboundedSender<HomeInput>) -> usize {
    let (reply, count) = oneshot::channel();
    if home.send(HomeInput::RunningCount(reply)).is_err() {
        return 0;
    }
    count.await.unwrap_or(0)
}
