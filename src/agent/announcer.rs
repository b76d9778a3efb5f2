//! Announces the agent to the entries.

use {
    super::{AgentHandle, runner_loop::RunnerSnapshot},
    crate::{
        core::{
            message::{Announcement, AnnouncementReply, PeerReply, PeerRequest, roster_digest},
            roster::EntryChoice,
            runner::RunnerEvent,
            ticket::AgentId,
            time::Instant,
        },
        ports::{Counter, Metrics, PeerNetwork, TimerService},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Response timeout in milliseconds; short enough to try another entry before the permit expires.
const ANNOUNCE_TIMEOUT_MS: u64 = 600;
const MAX_ENTRIES_TRIED: usize = 3;
const TICKETS_PER_GRANT: u32 = 4_096;

/// Sends periodic announcements to one entry at a time.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) id: AgentId,
    pub(crate) worker: String,
    pub(crate) availability_zone: String,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) entries: EntryChoice,
    /// Digest of the last received roster; zero for none.
    pub(crate) roster_digest: u64,
    pub(crate) last_number: u64,
    pub(crate) agent: Arc<AgentHandle>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

/// Outcome of one announcement, as counted in the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnnounceOutcome {
    Answered,
    /// The entry granted no permit because it can't confirm the current configuration.
    NoPermit,
    Unsupported,
    Unreachable,
    TimedOut,
}

impl AnnounceOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NoPermit => "no_permit",
            Self::Unsupported => "unsupported",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed_out",
        }
    }
}

impl Announcer {
    /// Announces every `ANNOUNCE_INTERVAL_MS` and when `announce_now` is notified.
    pub(crate) async fn run(mut self) {
        let mut ticks = self.timer.subscribe(ANNOUNCE_INTERVAL_MS);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.agent.announce_now.notified() => {}
            }
            self.agent.check_backend_timeout();
            if self.announce().await.is_none() {
                return;
            }
        }
    }

    /// Announces to the next entry, and to others if it fails or grants no permit.
    async fn announce(&mut self) -> Option<()> {
        let entries = self.entries.next_attempt_order(self.timer.now());
        for entry in entries.into_iter().take(MAX_ENTRIES_TRIED) {
            let snapshot = self.agent.snapshot().await?;
            let outcome = self.announce_to(entry, snapshot).await;
            self.metrics.count(Counter::Announcements, outcome.as_str());
            if outcome == AnnounceOutcome::Answered {
                self.entries.clear_suspect(entry);
                break;
            }
            self.entries.mark_suspect(self.timer.now(), entry);
        }
        Some(())
    }

    async fn announce_to(
        &mut self,
        entry: SocketAddr,
        snapshot: RunnerSnapshot,
    ) -> AnnounceOutcome {
        let announcement = self.build_announcement(snapshot).await;
        let sent_at = self.timer.now();
        let call = self
            .network
            .call(entry, PeerRequest::Announce(announcement));
        match timeout(Duration::from_millis(ANNOUNCE_TIMEOUT_MS), call).await {
            Ok(Ok(PeerReply::Announced(reply))) => self.apply_reply(sent_at, reply),
            Ok(Ok(_)) => AnnounceOutcome::Unsupported,
            Ok(Err(_)) => AnnounceOutcome::Unreachable,
            Err(_) => AnnounceOutcome::TimedOut,
        }
    }

    async fn build_announcement(&mut self, snapshot: RunnerSnapshot) -> Announcement {
        self.last_number += 1;
        Announcement {
            agent: self.id,
            number: self.last_number,
            worker: self.worker.clone(),
            availability_zone: self.availability_zone.clone(),
            peer_addr: self.peer_addr,
            services: snapshot.services,
            slots: snapshot.slots,
            free_slots: snapshot.free_slots,
            leaving: snapshot.leaving,
            config_version: snapshot.config_version,
            roster_digest: self.roster_digest,
            adopted: self.agent.adopted_homes(),
            grant: self.agent.grant(TICKETS_PER_GRANT).await,
        }
    }

    fn apply_reply(&mut self, sent_at: Instant, reply: AnnouncementReply) -> AnnounceOutcome {
        self.agent.record_successors(&reply.successors);
        self.agent.notify_runner(RunnerEvent::PermitRenewed {
            sent_at,
            config_version: reply.config_version,
            zone_open: reply.zone_open,
            permit_ms: reply.permit_ms,
        });
        if let Some(roster) = reply.roster {
            self.roster_digest = roster_digest(&roster);
            let addrs = roster.iter().map(|entry| entry.peer_addr).collect();
            self.entries.set_roster(addrs);
        }
        if reply.zone_open && reply.permit_ms == 0 {
            return AnnounceOutcome::NoPermit;
        }
        AnnounceOutcome::Answered
    }
}
