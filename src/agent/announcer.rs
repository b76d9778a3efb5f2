//! Announces the agent to the entries.

use {
    super::{AgentHandle, runner_loop::RunnerSnapshot},
    crate::{
        core::{
            message::{Announcement, AnnouncementReply, PeerReply, PeerRequest},
            runner::RunnerEvent,
            ticket::AgentId,
            time::Instant,
        },
        ports::{Counter, Metrics, PeerNetwork, TimerService},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Pause between announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 1_000;
/// Time after which an announcement counts as lost, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;
/// Tickets granted with each announcement.
const GRANT_TICKETS: u32 = 4_096;

/// Announces one agent.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) id: AgentId,
    pub(crate) worker: String,
    pub(crate) availability_zone: String,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) agent: Arc<AgentHandle>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

impl Announcer {
    /// Announces every second, and at once when something changed.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.timer.subscribe(ANNOUNCE_MS);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.agent.announce_now.notified() => {}
            }
            self.agent.check_backend();
            let Some(snapshot) = self.agent.snapshot().await else {
                return;
            };
            for entry in &self.entries {
                let announcer = Arc::clone(&self);
                let (entry, snapshot) = (*entry, snapshot.clone());
                tokio::spawn(async move { announcer.announce_to(entry, snapshot).await });
            }
        }
    }

    async fn announce_to(&self, entry: SocketAddr, snapshot: RunnerSnapshot) {
        let announcement = self.announcement(snapshot).await;
        let sent_at = self.timer.now();
        let call = self
            .network
            .call(entry, PeerRequest::Announce(announcement));
        let outcome = match timeout(Duration::from_millis(ANNOUNCE_TIMEOUT_MS), call).await {
            Ok(Ok(PeerReply::Announced(reply))) => {
                self.take_reply(sent_at, &reply);
                "answered"
            }
            Ok(Ok(PeerReply::Job(_) | PeerReply::Adopted | PeerReply::Unsupported)) => {
                "unsupported"
            }
            Ok(Err(_)) => "unreachable",
            Err(_) => "timed_out",
        };
        self.metrics.count(Counter::Announcements, outcome);
    }

    async fn announcement(&self, snapshot: RunnerSnapshot) -> Announcement {
        Announcement {
            agent: self.id,
            worker: self.worker.clone(),
            availability_zone: self.availability_zone.clone(),
            peer_addr: self.peer_addr,
            services: snapshot.services,
            slots: snapshot.slots,
            free_slots: snapshot.free_slots,
            leaving: snapshot.leaving,
            config_version: snapshot.config_version,
            adopted: self.agent.adopted(),
            grant: self.agent.grant(GRANT_TICKETS).await,
        }
    }

    fn take_reply(&self, sent_at: Instant, reply: &AnnouncementReply) {
        self.agent.note_successors(&reply.successors);
        self.agent.tell_runner(RunnerEvent::PermitRenewed {
            sent_at,
            config_version: reply.config_version,
            zone_open: reply.zone_open,
            permit_ms: reply.permit_ms,
        });
    }
}
