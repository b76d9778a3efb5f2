//! The live agents, as announced by themselves or reported by other entries.

use {
    crate::core::{
        config::{Document, Service},
        message::{AgentHeartbeat, AgentReport, Announcement, Candidate},
        ticket::AgentId,
        time::Instant,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time without an announcement after which an agent gets no new work, in milliseconds.
pub(crate) const LIVENESS_TIMEOUT_MS: u64 = 3_000;
/// Time without an announcement after which an agent is removed, in milliseconds.
const EXPIRY_MS: u64 = 60_000;
/// Maximum delay of an announcement in transit after its agent stopped, in milliseconds.
const MAX_ANNOUNCEMENT_DELAY_MS: u64 = 5_000;

/// The latest known state of an agent.
#[derive(Debug, Clone)]
pub(crate) struct AgentView {
    pub(crate) announcement: Announcement,
    /// When this entry last received an announcement or heartbeat of the agent, from any source.
    pub(crate) last_heard_at: Instant,
    /// When this entry last received an announcement from the agent itself.
    pub(crate) last_direct_at: Option<Instant>,
    /// Incremented when the announcement changes in more than its load.
    pub(crate) content_version: u64,
    pub(crate) fingerprint: u8,
    /// When the latest call to the agent failed.
    failed_at: Option<Instant>,
}

impl AgentView {
    /// Whether the last announcement or heartbeat is within the liveness timeout and newer than the
    /// last failed call.
    fn is_alive(&self, now: Instant) -> bool {
        now.millis_since(self.last_heard_at) < LIVENESS_TIMEOUT_MS
            && self
                .failed_at
                .is_none_or(|failed_at| failed_at < self.last_heard_at)
    }
}

/// The location of a ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HomeLocation {
    /// The last known address.
    At(SocketAddr),
    /// This entry doesn't know the home, or has removed it.
    Unknown,
    /// A newer process of the same worker has replaced the home.
    Replaced,
}

/// The agents that this entry knows.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    agents: BTreeMap<AgentId, AgentView>,
    by_worker: BTreeMap<String, AgentId>,
    replaced: BTreeMap<AgentId, Instant>,
    /// The agents by reporting entry and that entry's index for them.
    reported: BTreeMap<(AgentId, u32), AgentId>,
    /// Homes of stopped processes, each with the agent that serves it now.
    adopted: BTreeMap<AgentId, AgentId>,
}

impl Directory {
    /// Records an agent's own announcement; true if its content is new.
    pub(crate) fn record_announcement(&mut self, now: Instant, announcement: Announcement) -> bool {
        self.apply_announcement(now, announcement, true)
    }

    /// Records an agent that another entry reports in full.
    pub(crate) fn record_report(&mut self, now: Instant, from: AgentId, report: AgentReport) {
        let agent = report.announcement.agent;
        self.reported.insert((from, report.index), agent);
        self.apply_announcement(now, report.announcement, false);
    }

    /// Records a heartbeat of an agent that another entry forwards.
    ///
    /// Returns false if a full report is needed because the index is unknown or the fingerprint
    /// differs.
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

    /// Whether an announcement can come from a running process.
    ///
    /// Announcements of a stopped agent can arrive late and must not replace its successor. An
    /// agent that still announces itself after [`MAX_ANNOUNCEMENT_DELAY_MS`] is running.
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

    /// Removes agents without an announcement for [`EXPIRY_MS`].
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

    /// Returns the location of a home.
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

    /// The agents that announced themselves within the liveness timeout and after the last failed
    /// call to them.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &AgentView> {
        self.agents.values().filter(move |view| view.is_alive(now))
    }

    /// Records a failed call; the agent gets no new work until a call succeeds or it announces
    /// itself.
    ///
    /// When a whole rack fails, jobs stop being sent there before the liveness timeout has passed.
    pub(crate) fn record_call_failure(&mut self, now: Instant, agent: AgentId) {
        if let Some(view) = self.agents.get_mut(&agent) {
            view.failed_at = Some(now);
        }
    }

    /// Records a successful call.
    pub(crate) fn record_call_success(&mut self, agent: AgentId) {
        if let Some(view) = self.agents.get_mut(&agent) {
            view.failed_at = None;
        }
    }

    /// The live agents that announced themselves to this entry after `since`, or ever if it is
    /// `None`.
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

    /// Whether the agent is known.
    pub(crate) fn contains(&self, agent: AgentId) -> bool {
        self.agents.contains_key(&agent)
    }

    /// All known agents.
    pub(crate) fn agents(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.values()
    }

    /// Whether an agent may get new jobs or tasks.
    pub(crate) fn accepts_work(&self, now: Instant, agent: AgentId) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|view| !view.announcement.leaving && view.is_alive(now))
    }

    /// Whether the configuration allows tasks to start at an agent.
    pub(crate) fn is_open(&self, document: &Document, agent: AgentId) -> bool {
        self.agents.get(&agent).is_some_and(|view| {
            let announcement = &view.announcement;
            document.worker_is_open(&announcement.worker, &announcement.availability_zone)
        })
    }

    /// The runners that can run tasks of a service, in descending order of free slots.
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
