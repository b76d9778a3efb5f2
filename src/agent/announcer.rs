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

/// Pause between announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 1_000;
/// Time after which an announcement counts as lost, in milliseconds; the next entry is tried
/// well before the permit of the last announcement ends.
const ANNOUNCE_TIMEOUT_MS: u64 = 600;
/// Entries tried for one announcement.
const TRIES: usize = 3;
/// Tickets granted with each announcement.
const GRANT_TICKETS: u32 = 4_096;

/// Announces one agent.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) id: AgentId,
    pub(crate) worker: String,
    pub(crate) availability_zone: String,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) entries: EntryChoice,
    /// Digest of the roster held, zero for none.
    pub(crate) roster_digest: u64,
    /// Number of the last announcement.
    pub(crate) number: u64,
    pub(crate) agent: Arc<AgentHandle>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

/// How an announcement to one entry went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    /// The entry can't vouch for the configuration now: no permit came back.
    NoPermit,
    Unsupported,
    Unreachable,
    TimedOut,
}

impl Outcome {
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
    /// Announces every second, and at once when something changed.
    pub(crate) async fn run(mut self) {
        let mut ticks = self.timer.subscribe(ANNOUNCE_MS);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.agent.announce_now.notified() => {}
            }
            self.agent.check_backend();
            if self.announce().await.is_none() {
                return;
            }
        }
    }

    /// Announces to one entry; to the next one if it doesn't answer or grants no permit.
    async fn announce(&mut self) -> Option<()> {
        let entries = self.entries.next_attempt_order(self.timer.now());
        for entry in entries.into_iter().take(TRIES) {
            let snapshot = self.agent.snapshot().await?;
            let outcome = self.announce_to(entry, snapshot).await;
            self.metrics.count(Counter::Announcements, outcome.as_str());
            if outcome == Outcome::Answered {
                self.entries.clear_suspect(entry);
                break;
            }
            self.entries.mark_suspect(self.timer.now(), entry);
        }
        Some(())
    }

    async fn announce_to(&mut self, entry: SocketAddr, snapshot: RunnerSnapshot) -> Outcome {
        let announcement = self.announcement(snapshot).await;
        let sent_at = self.timer.now();
        let call = self
            .network
            .call(entry, PeerRequest::Announce(announcement));
        match timeout(Duration::from_millis(ANNOUNCE_TIMEOUT_MS), call).await {
            Ok(Ok(PeerReply::Announced(reply))) => self.take_reply(sent_at, reply),
            Ok(Ok(_)) => Outcome::Unsupported,
            Ok(Err(_)) => Outcome::Unreachable,
            Err(_) => Outcome::TimedOut,
        }
    }

    async fn announcement(&mut self, snapshot: RunnerSnapshot) -> Announcement {
        self.number += 1;
        Announcement {
            agent: self.id,
            number: self.number,
            worker: self.worker.clone(),
            availability_zone: self.availability_zone.clone(),
            peer_addr: self.peer_addr,
            services: snapshot.services,
            slots: snapshot.slots,
            free_slots: snapshot.free_slots,
            leaving: snapshot.leaving,
            config_version: snapshot.config_version,
            roster_digest: self.roster_digest,
            adopted: self.agent.adopted(),
            grant: self.agent.grant(GRANT_TICKETS).await,
        }
    }

    fn take_reply(&mut self, sent_at: Instant, reply: AnnouncementReply) -> Outcome {
        self.agent.note_successors(&reply.successors);
        self.agent.tell_runner(RunnerEvent::PermitRenewed {
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
            return Outcome::NoPermit;
        }
        Outcome::Answered
    }
}
