//! Who is there, as announced.

use {
    crate::core::{
        config::{Document, Service},
        message::{Announcement, Candidate},
        ticket::AgentId,
        time::Instant,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Silence after which an agent gets no new work, in milliseconds.
pub(crate) const ALIVE_MS: u64 = 3_000;
/// Silence after which an agent is dropped from the list, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// An agent as last announced.
#[derive(Debug, Clone)]
pub(crate) struct AgentView {
    /// What it said.
    pub(crate) announcement: Announcement,
    /// When it said so.
    pub(crate) heard_at: Instant,
}

/// Where a ticket's home is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HomeLocation {
    /// It announced itself lately, or was last known here.
    At(SocketAddr),
    /// This entry has never heard of it, or not for long.
    Unknown,
    /// Another process of the same worker announces itself: this one is gone.
    Replaced,
}

/// The live agents.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    agents: BTreeMap<AgentId, AgentView>,
    by_worker: BTreeMap<String, AgentId>,
    replaced: BTreeMap<AgentId, Instant>,
    /// Homes of stopped processes, each with the agent that answers for it now.
    adopted: BTreeMap<AgentId, AgentId>,
}

impl Directory {
    /// Takes an announcement in.
    pub(crate) fn announce(&mut self, now: Instant, announcement: Announcement) {
        let agent = announcement.agent;
        if self.replaced.contains_key(&agent) {
            return;
        }
        let previous = self
            .by_worker
            .insert(announcement.worker.clone(), agent)
            .filter(|previous| *previous != agent);
        if let Some(previous) = previous {
            self.agents.remove(&previous);
            self.replaced.insert(previous, now);
        }
        self.adopted.retain(|_, successor| *successor != agent);
        let adopted = announcement.adopted.iter().map(|home| (*home, agent));
        self.adopted.extend(adopted);
        let view = AgentView {
            announcement,
            heard_at: now,
        };
        self.agents.insert(agent, view);
    }

    /// Forgets agents that have been silent for long.
    pub(crate) fn expire(&mut self, now: Instant) {
        let by_worker = &mut self.by_worker;
        self.agents.retain(|_, view| {
            let keep = now.millis_since(view.heard_at) < FORGET_AFTER_MS;
            if !keep {
                by_worker.remove(&view.announcement.worker);
            }
            keep
        });
        let agents = &self.agents;
        self.adopted
            .retain(|_, successor| agents.contains_key(successor));
        self.replaced
            .retain(|_, since| now.millis_since(*since) < FORGET_AFTER_MS * 20);
    }

    /// Where a home is.
    pub(crate) fn locate(&self, home: AgentId) -> HomeLocation {
        let home = self.adopted.get(&home).copied().unwrap_or(home);
        if let Some(view) = self.agents.get(&home) {
            return HomeLocation::At(view.announcement.peer_addr);
        }
        if self.replaced.contains_key(&home) {
            return HomeLocation::Replaced;
        }
        HomeLocation::Unknown
    }

    /// Agents that announced themselves lately.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &AgentView> {
        self.agents
            .values()
            .filter(move |view| now.millis_since(view.heard_at) < ALIVE_MS)
    }

    /// All agents that are still listed.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.values()
    }

    /// Whether an agent may be handed new jobs or tasks.
    pub(crate) fn takes_work(&self, now: Instant, agent: AgentId) -> bool {
        self.agents.get(&agent).is_some_and(|view| {
            !view.announcement.leaving && now.millis_since(view.heard_at) < ALIVE_MS
        })
    }

    /// Runners that could take tasks of a service, those with most free slots first.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        document: &Document,
        name: &str,
        service: &Service,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .alive(now)
            .filter(|view| serves(view, document, name, service))
            .map(|view| Candidate {
                runner: view.announcement.agent,
                peer_addr: view.announcement.peer_addr,
                slots: view.announcement.slots,
                free_slots: view.announcement.free_slots,
                own: false,
            })
            .collect();
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.free_slots));
        candidates
    }
}

fn serves(view: &AgentView, document: &Document, name: &str, service: &Service) -> bool {
    let announcement = &view.announcement;
    !announcement.leaving
        && announcement.services.iter().any(|served| served == name)
        && service
            .availability_zones
            .contains(&announcement.availability_zone)
        && document.zone_is_open(&announcement.availability_zone)
}
