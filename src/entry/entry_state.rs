//! State of an entry: agents, tickets and the configuration in force.

use {
    crate::{
        core::{
            admission::fits_somewhere,
            config::{Document, Head, Service},
            directory::{DigestLog, Directory, HomeLocation},
            gate::{PERMIT_DURATION_MS, ZoneGate},
            job::JobSpec,
            message::{Announcement, AnnouncementReply, Candidate, PeerEntry, roster_digest},
            placement::{HomeChoice, RunnerRing, active_homes},
            roster::Roster,
            ticket::{AgentId, Ticket, TicketOffice},
            time::Instant,
            verdict::NotRunReason,
        },
        ports::TimerService,
    },
    rand::{SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::Notify,
};

/// How long a service's runner ring is reused, in milliseconds.
const RING_LIFETIME_MS: u64 = 50;
/// Successors sent to a leaving agent.
const MAX_SUCCESSORS: usize = 3;

/// The configuration in force at this entry.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    /// The head row.
    pub(crate) head: Head,
    /// The document's text.
    pub(crate) text: Arc<str>,
    /// The document.
    pub(crate) document: Arc<Document>,
}

/// State behind the lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) local_entry: PeerEntry,
    pub(super) directory: Directory,
    pub(super) digests: DigestLog,
    pub(super) roster: Roster,
    pub(super) last_heard: BTreeMap<AgentId, Instant>,
    pub(super) gate: ZoneGate,
    pub(super) tickets: TicketOffice,
    pub(super) in_force: Option<InForce>,
    home_choice: HomeChoice,
    rng: ChaCha8Rng,
}

/// State shared by all parts of an entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) outage_limit_ms: u64,
    /// Triggers digests before the next tick.
    pub(super) digest_wakeup: Notify,
    /// Triggers notices to agents after a configuration change.
    pub(super) gate_notice_wakeup: Notify,
    rings: Mutex<BTreeMap<String, (Instant, RunnerRing)>>,
    inner: Mutex<Inner>,
}

impl Inner {
    /// Returns agents that could adopt the homes of a leaving one, in random order.
    fn successors_of(&mut self, now: Instant, announcement: &Announcement) -> Vec<SocketAddr> {
        if !announcement.leaving {
            return Vec::new();
        }
        let mut successors: Vec<SocketAddr> = self
            .directory
            .alive(now)
            .map(|view| &view.announcement)
            .filter(|other| !other.leaving && other.worker != announcement.worker)
            .map(|other| other.peer_addr)
            .collect();
        successors.shuffle(&mut self.rng);
        successors.truncate(MAX_SUCCESSORS);
        successors
    }

    fn refresh_home_choice(&mut self, now: Instant) {
        let mut homes = self.tickets.homes(now);
        homes.retain(|home| self.directory.accepts_work(now, *home));
        prefer_open_homes(&mut homes, &self.directory, self.in_force.as_ref());
        self.home_choice.refresh(now, homes);
    }

    fn mint_from_choice(&mut self, now: Instant, count: usize) -> Vec<Ticket> {
        let Self {
            home_choice,
            directory,
            tickets,
            rng,
            ..
        } = self;
        let mut mint_at = |home| {
            if !directory.accepts_work(now, home) {
                return None;
            }
            tickets.mint(now, home)
        };
        (0..count)
            .map_while(|_| home_choice.pick(rng, &mut mint_at))
            .collect()
    }
}

impl EntryState {
    /// Creates the state of an entry without agents, peers or configuration.
    pub(crate) fn new(
        local_entry: PeerEntry,
        timer: Arc<dyn TimerService>,
        outage_limit_ms: u64,
        seed: u64,
    ) -> Self {
        Self {
            timer,
            outage_limit_ms,
            digest_wakeup: Notify::new(),
            gate_notice_wakeup: Notify::new(),
            rings: Mutex::default(),
            inner: Mutex::new(Inner {
                local_entry,
                directory: Directory::default(),
                digests: DigestLog::default(),
                roster: Roster::default(),
                last_heard: BTreeMap::new(),
                gate: ZoneGate::new(outage_limit_ms),
                tickets: TicketOffice::default(),
                in_force: None,
                home_choice: HomeChoice::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an agent's announcement.
    pub(crate) fn handle_announcement(&self, mut announcement: Announcement) -> AnnouncementReply {
        let now = self.timer.now();
        let mut inner = self.lock();
        match announcement.grant.take() {
            Some(grant) => inner.tickets.store_grant(now, grant),
            None => inner.tickets.remove_grant(announcement.agent),
        }
        let successors = inner.successors_of(now, &announcement);
        let (config_version, zone_open) = inner.gate_decision(&announcement);
        let may_grant = zone_open
            && inner
                .gate
                .may_grant(now, &announcement.availability_zone, &announcement.worker);
        let roster = inner.roster_for_agents(now);
        let has_roster = announcement.roster_digest == roster_digest(&roster);
        if inner.directory.record_announcement(now, announcement) {
            self.digest_wakeup.notify_one();
        }
        AnnouncementReply {
            roster: (!has_roster).then_some(roster),
            successors,
            config_version,
            zone_open,
            permit_ms: if may_grant { PERMIT_DURATION_MS } else { 0 },
        }
    }

    /// Returns the configuration in force, if one has been read.
    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.lock().in_force.clone()
    }

    /// Records a read of the head row, requested at `requested_at`, with a newer document if any.
    ///
    /// Reads may complete out of order, so a version older than the one in force is ignored.
    pub(crate) fn record_head_read(&self, requested_at: Instant, newer: Option<InForce>) {
        let mut inner = self.lock();
        let current_version = inner
            .in_force
            .as_ref()
            .map_or(0, |current| current.head.version);
        let version = newer
            .as_ref()
            .map_or(current_version, |newer| newer.head.version);
        inner
            .gate
            .record_head_read(requested_at, version.max(current_version));
        self.set_in_force(&mut inner, newer);
    }

    /// Applies a configuration forwarded by another entry.
    pub(crate) fn apply_forwarded(&self, newer: InForce) {
        self.set_in_force(&mut self.lock(), Some(newer));
    }

    fn set_in_force(&self, inner: &mut Inner, newer: Option<InForce>) {
        let current_version = inner
            .in_force
            .as_ref()
            .map_or(0, |current| current.head.version);
        if let Some(newer) = newer
            && newer.head.version > current_version
        {
            log::info!(version = newer.head.version; "configuration in force");
            inner.gate.record_version(newer.head.version);
            inner.in_force = Some(newer);
            self.digest_wakeup.notify_one();
            self.gate_notice_wakeup.notify_one();
        }
    }

    /// Mints up to `count` tickets, distributed over the homes at random.
    pub(crate) fn mint(&self, count: usize) -> Vec<Ticket> {
        let now = self.timer.now();
        let mut inner = self.lock();
        if inner.home_choice.is_stale(now) {
            inner.refresh_home_choice(now);
        }
        let mut minted = inner.mint_from_choice(now, count);
        if minted.len() < count {
            inner.refresh_home_choice(now);
            let missing = count - minted.len();
            minted.extend(inner.mint_from_choice(now, missing));
        }
        minted
    }

    /// Returns the location of a home.
    pub(crate) fn locate(&self, home: AgentId) -> HomeLocation {
        self.lock().directory.locate(home)
    }

    /// Records that a call to an agent failed.
    pub(crate) fn record_call_failure(&self, agent: AgentId) {
        let now = self.timer.now();
        self.lock().directory.record_call_failure(now, agent);
    }

    /// Records that an agent replied to a call.
    pub(crate) fn record_call_success(&self, agent: AgentId) {
        self.lock().directory.record_call_success(agent);
    }

    /// Returns a service's declaration from the configuration in force.
    pub(crate) fn service(&self, name: &str) -> Result<Service, NotRunReason> {
        let inner = self.lock();
        let in_force = inner
            .in_force
            .as_ref()
            .ok_or(NotRunReason::NoConfiguration)?;
        in_force
            .document
            .services
            .get(name)
            .cloned()
            .ok_or(NotRunReason::UnknownService)
    }

    /// Returns whether each task fits on some worker of the configuration in force; true without one.
    pub(crate) fn fits_somewhere(&self, spec: &JobSpec) -> bool {
        let inner = self.lock();
        let in_force = inner.in_force.as_ref();
        in_force.is_none_or(|in_force| fits_somewhere(&in_force.document, spec))
    }

    /// Returns runners with capacity for tasks of a service, including the home's preferred ones.
    ///
    /// The ring is rebuilt only after [`RING_LIFETIME_MS`]: with 1,500 workers, a rebuild costs more
    /// than the rest of a job's handling, and reports of free slots are up to a second old anyway.
    pub(crate) fn candidates(&self, name: &str, home: AgentId) -> Vec<Candidate> {
        let now = self.timer.now();
        let mut rings = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((made_at, ring)) = rings.get(name)
            && now.millis_since(*made_at) < RING_LIFETIME_MS
        {
            return ring.shortlist(home);
        }
        let Some(ring) = self.runner_ring(now, name) else {
            rings.remove(name);
            return Vec::new();
        };
        let shortlist = ring.shortlist(home);
        rings.insert(name.to_owned(), (now, ring));
        shortlist
    }

    fn runner_ring(&self, now: Instant, name: &str) -> Option<RunnerRing> {
        let inner = self.lock();
        let in_force = inner.in_force.as_ref()?;
        let service = in_force.document.services.get(name)?;
        let runners = inner
            .directory
            .candidates(now, &in_force.document, name, service);
        let mut homes = inner.tickets.homes(now);
        homes.retain(|home| inner.directory.accepts_work(now, *home));
        // The same homes as in the home choice, so that each has its own runners.
        prefer_open_homes(&mut homes, &inner.directory, Some(in_force));
        Some(RunnerRing::new(active_homes(homes), runners))
    }

    /// Returns the known agents with the time since their last announcement, in milliseconds.
    pub(crate) fn agents(&self) -> Vec<(Announcement, u64)> {
        let now = self.timer.now();
        self.lock()
            .directory
            .agents()
            .map(|view| {
                (
                    view.announcement.clone(),
                    now.millis_since(view.last_heard_at),
                )
            })
            .collect()
    }

    /// Removes expired state and returns the number of agents alive.
    pub(crate) fn expire(&self) -> usize {
        let now = self.timer.now();
        let mut inner = self.lock();
        inner.directory.expire(now);
        let Inner {
            digests,
            directory,
            roster,
            last_heard,
            local_entry,
            ..
        } = &mut *inner;
        let members: BTreeSet<AgentId> = roster
            .others(local_entry.entry)
            .map(|other| other.entry)
            .collect();
        digests.expire(directory, |entry| members.contains(&entry));
        last_heard.retain(|entry, _| members.contains(entry));
        directory.alive(now).count()
    }

    /// Returns whether the entry can serve clients: it has a configuration and usable tickets of
    /// some home.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.timer.now();
        let inner = self.lock();
        inner.in_force.is_some() && !inner.tickets.homes(now).is_empty()
    }
}

/// Removes homes in closed zones, whose hosts may stop soon, unless no open home is left.
fn prefer_open_homes(homes: &mut Vec<AgentId>, directory: &Directory, in_force: Option<&InForce>) {
    let Some(in_force) = in_force else {
        return;
    };
    let is_open = |home: &AgentId| directory.is_open(&in_force.document, *home);
    if homes.iter().any(is_open) {
        homes.retain(is_open);
    }
}
