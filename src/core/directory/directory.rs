//! Who is there, as announced.

use {
    crate::core::{
        config::{Document, Service},
        message::{AgentHeartbeat, AgentReport, Announcement, Candidate},
        ticket::AgentId,
        time::Instant,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Silence after which an agent gets no new work, in milliseconds.
pub(crate) const LIVENESS_TIMEOUT_MS: u64 = 3_000;
/// Silence after which an agent is dropped from the list, in milliseconds.
const EXPIRY_MS: u64 = 60_000;
/// For how long an agent's last announcements may be under way after it is gone, in milliseconds.
const MAX_ANNOUNCEMENT_DELAY_MS: u64 = 5_000;

/// An agent as last announced.
#[derive(Debug, Clone)]
pub(crate) struct AgentView {
    /// What it said.
    pub(crate) announcement: Announcement,
    /// When it said so, here or to an entry that passed it on.
    pub(crate) last_heard_at: Instant,
    /// When it last said so here.
    pub(crate) last_direct_at: Option<Instant>,
    /// Grows when it says something other than its load.
    pub(crate) content_version: u64,
    /// Fingerprint of the announcement.
    pub(crate) fingerprint: u8,
    /// When a call to it last failed.
    failed_at: Option<Instant>,
}

impl AgentView {
    /// Whether it was heard lately, and since the last call to it failed.
    fn is_alive(&self, now: Instant) -> bool {
        now.millis_since(self.last_heard_at) < LIVENESS_TIMEOUT_MS
            && self
                .failed_at
                .is_none_or(|failed_at| failed_at < self.last_heard_at)
    }
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

/// The live agents, heard here or reported by other entries.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    agents: BTreeMap<AgentId, AgentView>,
    by_worker: BTreeMap<String, AgentId>,
    replaced: BTreeMap<AgentId, Instant>,
    /// The short numbers by which other entries name agents.
    reported: BTreeMap<(AgentId, u32), AgentId>,
    /// Homes of stopped processes, each with the agent that answers for it now.
    adopted: BTreeMap<AgentId, AgentId>,
}

impl Directory {
    /// Takes an agent's own announcement in; true if it says something new.
    pub(crate) fn record_announcement(&mut self, now: Instant, announcement: Announcement) -> bool {
        self.apply_announcement(now, announcement, true)
    }

    /// Takes in what another entry heard.
    pub(crate) fn record_report(&mut self, now: Instant, from: AgentId, report: AgentReport) {
        let agent = report.announcement.agent;
        self.reported.insert((from, report.index), agent);
        self.apply_announcement(now, report.announcement, false);
    }

    /// Takes in that another entry heard an agent; false if a report is needed, as it isn't known
    /// which one that is, or as it said something else here.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Instant,
        from: AgentId,
        heartbeat: AgentHeartbeat,
    ) -> bool {
        let Some(agent) = self.reported.get(&(from, heartbeat.index)) else {
            return false;
        };
        if self.replaced.contains_key(agent) {
            return true;
        }
        let Some(view) = self.agents.get_mut(agent) else {
            return false;
        };
        view.last_heard_at = now;
        view.announcement.free_slots = heartbeat.free_slots;
        view.fingerprint == heartbeat.fingerprint
    }

    fn apply_announcement(
        &mut self,
        now: Instant,
        announcement: Announcement,
        direct: bool,
    ) -> bool {
        let agent = announcement.agent;
        if !self.is_plausible(now, &announcement, direct) {
            return false;
        }
        let previous = self
            .by_worker
            .insert(announcement.worker.clone(), agent)
            .filter(|previous| *previous != agent);
        if let Some(previous) = previous {
            self.agents.remove(&previous);
            self.replaced.insert(previous, now);
        }
        let known = self.agents.get(&agent);
        if known.is_some_and(|view| announcement.number < view.announcement.number) {
            return false;
        }
        let fingerprint = announcement.fingerprint();
        let is_new = known.is_none_or(|view| view.fingerprint != fingerprint);
        let content_version = known.map_or(0, |view| view.content_version) + u64::from(is_new);
        let last_direct_at = if direct {
            Some(now)
        } else {
            known.and_then(|view| view.last_direct_at)
        };
        let failed_at = known.and_then(|view| view.failed_at);
        self.adopted.retain(|_, successor| *successor != agent);
        let adopted = announcement.adopted.iter().map(|home| (*home, agent));
        self.adopted.extend(adopted);
        let view = AgentView {
            announcement,
            last_heard_at: now,
            last_direct_at,
            content_version,
            fingerprint,
            failed_at,
        };
        self.agents.insert(agent, view);
        is_new
    }

    /// Whether an announcement can come from a process that is there.
    ///
    /// Guards against the last announcements of a dead agent, which arrive late, directly or by
    /// way of another entry: its successor must not count as replaced. An agent that goes on
    /// announcing itself for longer than its last words can be under way is there after all.
    fn is_plausible(&mut self, now: Instant, announcement: &Announcement, direct: bool) -> bool {
        let agent = announcement.agent;
        let holder = self
            .by_worker
            .get(&announcement.worker)
            .filter(|holder| **holder != agent)
            .and_then(|holder| self.agents.get(holder));
        let holder_is_alive = holder
            .and_then(|holder| holder.last_direct_at)
            .is_some_and(|at| now.millis_since(at) < LIVENESS_TIMEOUT_MS);
        if let Some(since) = self.replaced.get(&agent) {
            if holder_is_alive || !direct || now.millis_since(*since) < MAX_ANNOUNCEMENT_DELAY_MS {
                return false;
            }
            self.replaced.remove(&agent);
        }
        direct || !holder_is_alive
    }

    /// Forgets agents that have been silent for long.
    pub(crate) fn expire(&mut self, now: Instant) {
        let by_worker = &mut self.by_worker;
        self.agents.retain(|_, view| {
            let keep = now.millis_since(view.last_heard_at) < EXPIRY_MS;
            if !keep {
                by_worker.remove(&view.announcement.worker);
            }
            keep
        });
        let agents = &self.agents;
        self.adopted
            .retain(|_, successor| agents.contains_key(successor));
        self.replaced
            .retain(|_, since| now.millis_since(*since) < EXPIRY_MS * 20);
        let agents = &self.agents;
        self.reported.retain(|_, agent| agents.contains_key(agent));
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
        self.agents.values().filter(move |view| view.is_alive(now))
    }

    /// A call to an agent failed: it gets no new work until it answers or is heard again.
    ///
    /// Guards against a rack that is lost at once: until its silence was noticed, every second
    /// job would get a home there, and its client would wait for one that is gone.
    pub(crate) fn record_call_failure(&mut self, now: Instant, agent: AgentId) {
        if let Some(view) = self.agents.get_mut(&agent) {
            view.failed_at = Some(now);
        }
    }

    /// A call to an agent was answered.
    pub(crate) fn record_call_success(&mut self, agent: AgentId) {
        if let Some(view) = self.agents.get_mut(&agent) {
            view.failed_at = None;
        }
    }

    /// Agents that announced themselves here after `since`, or never lately if it is `None`.
    pub(crate) fn announced_here(
        &self,
        now: Instant,
        since: Option<Instant>,
    ) -> impl Iterator<Item = &AgentView> {
        self.alive(now).filter(move |view| {
            view.last_direct_at
                .is_some_and(|at| since.is_none_or(|since| at > since))
        })
    }

    /// Whether an agent is still listed.
    pub(crate) fn contains(&self, agent: AgentId) -> bool {
        self.agents.contains_key(&agent)
    }

    /// All agents that are still listed.
    pub(crate) fn agents(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.values()
    }

    /// Whether an agent may be handed new jobs or tasks.
    pub(crate) fn accepts_work(&self, now: Instant, agent: AgentId) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|view| !view.announcement.leaving && view.is_alive(now))
    }

    /// Whether the configuration lets tasks start at an agent.
    pub(crate) fn is_open(&self, document: &Document, agent: AgentId) -> bool {
        self.agents.get(&agent).is_some_and(|view| {
            let announcement = &view.announcement;
            document.worker_is_open(&announcement.worker, &announcement.availability_zone)
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
        && document.worker_is_open(&announcement.worker, &announcement.availability_zone)
}
