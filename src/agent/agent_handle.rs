//! How the agent's other parts reach its two loops.

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

/// Silence after which a backend server counts as gone, in milliseconds.
const BACKEND_SILENT_MS: u64 = 3_000;

/// Sends to the loops of home and runner.
#[derive(Debug)]
pub(crate) struct AgentHandle {
    pub(crate) id: AgentId,
    pub(crate) homes: HomeRoutes,
    pub(crate) starter: HomeStarter,
    /// Where entries say that this agent's homes could move.
    pub(crate) successors: Mutex<Vec<SocketAddr>>,
    pub(crate) home: mpsc::UnboundedSender<HomeInput>,
    pub(crate) runner: mpsc::UnboundedSender<RunnerInput>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) slots_limit: u16,
    /// Wakes the announcer before its next tick.
    pub(crate) announce_now: Notify,
    pub(crate) backend_heard_at: Mutex<Option<Instant>>,
}

impl AgentHandle {
    /// The backend server announced itself.
    pub(crate) fn backend_up(&self, services: Vec<String>, slots: u16) {
        let is_new = self.lock_heard().replace(self.timer.now()).is_none();
        let slots = slots.min(self.slots_limit);
        self.tell_runner(RunnerEvent::BackendUp { services, slots });
        if is_new {
            log::info!("backend server announced itself");
            self.announce_now.notify_one();
        }
    }

    /// The backend server said that it leaves.
    pub(crate) fn backend_gone(&self) {
        if self.lock_heard().take().is_some() {
            log::info!("backend server is gone");
            self.tell_runner(RunnerEvent::BackendUnavailable);
            self.announce_now.notify_one();
        }
    }

    /// Counts the backend server as gone if it has been silent for too long.
    pub(crate) fn check_backend(&self) {
        let heard_at = *self.lock_heard();
        if let Some(heard_at) = heard_at
            && self.timer.now().millis_since(heard_at) >= BACKEND_SILENT_MS
        {
            self.backend_gone();
        }
    }

    /// No new tasks from now on, and tickets of this home are no longer handed out. Jobs under
    /// those that are out are taken until the home has moved.
    pub(crate) fn leave(&self) {
        self.tell_runner(RunnerEvent::Shutdown);
        self.announce_now.notify_one();
    }

    /// An entry told that tasks may start here, or no longer.
    pub(crate) fn gate_changed(&self, notice: GateNotice) {
        self.tell_runner(RunnerEvent::PermitRenewed {
            sent_at: self.timer.now(),
            config_version: notice.config_version,
            zone_open: notice.zone_open,
            permit_ms: 0,
        });
        if notice.zone_open {
            // The permit itself comes with the reply to an announcement.
            self.announce_now.notify_one();
        }
    }

    /// Feeds the runner.
    pub(crate) fn tell_runner(&self, event: RunnerEvent) {
        // The loops end only with the process.
        let _ = self.runner.send(RunnerInput::Event(event));
    }

    /// Feeds the home.
    pub(crate) fn tell_home(&self, event: HomeEvent) {
        // The loops end only with the process.
        let _ = self.home.send(HomeInput::Event(event));
    }

    /// How the runner stands.
    pub(crate) async fn snapshot(&self) -> Option<RunnerSnapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.runner.send(RunnerInput::Snapshot(reply)).ok()?;
        snapshot.await.ok()
    }

    /// Tickets for the next announcement.
    pub(crate) async fn grant(&self, count: u32) -> Option<TicketGrant> {
        let (reply, grant) = oneshot::channel();
        self.home.send(HomeInput::Grant(count, reply)).ok()?;
        grant.await.ok()?
    }

    /// Homes of stopped processes that this one answers for.
    pub(crate) fn adopted(&self) -> Vec<AgentId> {
        let mut homes = self.homes.here();
        homes.retain(|home| *home != self.id);
        homes
    }

    /// An entry named agents that could take over this one's homes.
    pub(crate) fn note_successors(&self, successors: &[SocketAddr]) {
        if !successors.is_empty() {
            successors.clone_into(&mut self.lock_successors());
        }
    }

    /// Agents that could take over this one's homes.
    pub(crate) fn successors(&self) -> Vec<SocketAddr> {
        self.lock_successors().clone()
    }

    fn lock_successors(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.successors
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Jobs at the homes of this process that have not ended.
    pub(crate) async fn jobs_running(&self) -> usize {
        let mut total = 0;
        for home in self.homes.here() {
            if let Some(HomeRoute::Here(inputs)) = self.homes.route(home) {
                total += running_at(&inputs).await;
            }
        }
        total
    }

    /// Whether a backend server is there.
    pub(crate) async fn is_ready(&self) -> bool {
        self.snapshot()
            .await
            .is_some_and(|snapshot| !snapshot.services.is_empty() && !snapshot.leaving)
    }

    fn lock_heard(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.backend_heard_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn running_at(home: &mpsc::UnboundedSender<HomeInput>) -> usize {
    let (reply, count) = oneshot::channel();
    if home.send(HomeInput::RunningCount(reply)).is_err() {
        return 0;
    }
    count.await.unwrap_or(0)
}
