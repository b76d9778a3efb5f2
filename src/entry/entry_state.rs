//! What an entry knows: agents, tickets and the configuration in force.

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

/// For how long the runners of a service are not looked through anew, in milliseconds.
const RING_MS: u64 = 50;
/// Successors named to a leaving agent.
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

/// What the lock guards.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) me: PeerEntry,
    pub(super) directory: Directory,
    pub(super) digests: DigestLog,
    pub(super) roster: Roster,
    pub(super) heard_from: BTreeMap<AgentId, Instant>,
    pub(super) gate: ZoneGate,
    pub(super) tickets: TicketOffice,
    pub(super) in_force: Option<InForce>,
    home_choice: HomeChoice,
    rng: ChaCha8Rng,
}

/// Shared by all parts of an entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) outage_limit_ms: u64,
    /// Wakes the exchange of digests before its next tick.
    pub(super) tell_entries: Notify,
    /// Wakes whoever tells agents that their zone was taken out or in.
    pub(super) tell_agents: Notify,
    rings: Mutex<BTreeMap<String, (Instant, RunnerRing)>>,
    inner: Mutex<Inner>,
}

impl Inner {
    /// Agents that could take over the homes of a leaving one, in an order of chance.
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

    fn renew_home_choice(&mut self, now: Instant) {
        let mut homes = self.tickets.homes(now);
        homes.retain(|home| self.directory.accepts_work(now, *home));
        prefer_open(&mut homes, &self.directory, self.in_force.as_ref());
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
    /// An entry that knows nobody yet.
    pub(crate) fn new(
        me: PeerEntry,
        timer: Arc<dyn TimerService>,
        outage_limit_ms: u64,
        seed: u64,
    ) -> Self {
        Self {
            timer,
            outage_limit_ms,
            tell_entries: Notify::new(),
            tell_agents: Notify::new(),
            rings: Mutex::default(),
            inner: Mutex::new(Inner {
                me,
                directory: Directory::default(),
                digests: DigestLog::default(),
                roster: Roster::default(),
                heard_from: BTreeMap::new(),
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

    /// Takes an announcement in and answers it.
    pub(crate) fn announce(&self, mut announcement: Announcement) -> AnnouncementReply {
        let now = self.timer.now();
        let mut inner = self.lock();
        match announcement.grant.take() {
            Some(grant) => inner.tickets.store_grant(now, grant),
            None => inner.tickets.remove_grant(announcement.agent),
        }
        let successors = inner.successors_of(now, &announcement);
        let (config_version, zone_open) = inner.verdict_on(&announcement);
        let may_grant = zone_open
            && inner
                .gate
                .may_grant(now, &announcement.availability_zone, &announcement.worker);
        let roster = inner.roster_for_agents(now);
        let roster_is_held = announcement.roster_digest == roster_digest(&roster);
        if inner.directory.record_announcement(now, announcement) {
            self.tell_entries.notify_one();
        }
        AnnouncementReply {
            roster: (!roster_is_held).then_some(roster),
            successors,
            config_version,
            zone_open,
            permit_ms: if may_grant { PERMIT_DURATION_MS } else { 0 },
        }
    }

    /// The configuration in force, if one has been read.
    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.lock().in_force.clone()
    }

    /// Notes that the head row was read at `read_at`, with the document if it is a newer one.
    ///
    /// Guards against a configuration that reverts: readings may cross, so a lower version
    /// than the one in force changes nothing.
    pub(crate) fn head_read(&self, read_at: Instant, newer: Option<InForce>) {
        let mut inner = self.lock();
        let held = inner.in_force.as_ref().map_or(0, |held| held.head.version);
        let version = newer.as_ref().map_or(held, |newer| newer.head.version);
        inner.gate.record_head_read(read_at, version.max(held));
        self.put_in_force(&mut inner, newer);
    }

    /// Takes in a configuration that another entry holds.
    pub(crate) fn passed_on(&self, newer: InForce) {
        self.put_in_force(&mut self.lock(), Some(newer));
    }

    fn put_in_force(&self, inner: &mut Inner, newer: Option<InForce>) {
        let held = inner.in_force.as_ref().map_or(0, |held| held.head.version);
        if let Some(newer) = newer
            && newer.head.version > held
        {
            log::info!(version = newer.head.version; "configuration in force");
            inner.gate.record_version(newer.head.version);
            inner.in_force = Some(newer);
            self.tell_entries.notify_one();
            self.tell_agents.notify_one();
        }
    }

    /// Mints up to `count` tickets, spread over the homes at random.
    pub(crate) fn mint(&self, count: usize) -> Vec<Ticket> {
        let now = self.timer.now();
        let mut inner = self.lock();
        if inner.home_choice.is_stale(now) {
            inner.renew_home_choice(now);
        }
        let mut minted = inner.mint_from_choice(now, count);
        if minted.len() < count {
            inner.renew_home_choice(now);
            let missing = count - minted.len();
            minted.extend(inner.mint_from_choice(now, missing));
        }
        minted
    }

    /// Where a home is.
    pub(crate) fn locate(&self, home: AgentId) -> HomeLocation {
        self.lock().directory.locate(home)
    }

    /// A call to an agent failed.
    pub(crate) fn call_failed(&self, agent: AgentId) {
        let now = self.timer.now();
        self.lock().directory.record_call_failure(now, agent);
    }

    /// A call to an agent was answered.
    pub(crate) fn call_answered(&self, agent: AgentId) {
        self.lock().directory.record_call_success(agent);
    }

    /// The service's declaration, if the configuration in force has it.
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

    /// Whether each task fits on some worker of the configuration in force.
    pub(crate) fn fits_somewhere(&self, spec: &JobSpec) -> bool {
        let inner = self.lock();
        let in_force = inner.in_force.as_ref();
        in_force.is_none_or(|in_force| fits_somewhere(&in_force.document, spec))
    }

    /// Runners that could take tasks of a service now, with those that a home looks to first.
    ///
    /// All runners are looked through anew after [`RING_MS`] only: for each job it would cost
    /// more than the rest of the job at 1,500 workers. Reports of free slots are a second old.
    pub(crate) fn candidates(&self, name: &str, home: AgentId) -> Vec<Candidate> {
        let now = self.timer.now();
        let mut rings = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((made_at, ring)) = rings.get(name)
            && now.millis_since(*made_at) < RING_MS
        {
            return ring.shortlist(home);
        }
        let Some(ring) = self.runner_ring(now, name) else {
            rings.remove(name);
            return Vec::new();
        };
        let named = ring.shortlist(home);
        rings.insert(name.to_owned(), (now, ring));
        named
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
        // The same homes that tickets are minted for: each then has runners of its own.
        prefer_open(&mut homes, &inner.directory, Some(in_force));
        Some(RunnerRing::new(active_homes(homes), runners))
    }

    /// The listed agents with their silence in milliseconds.
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

    /// Drops what is out of date and counts who is alive.
    pub(crate) fn expire(&self) -> usize {
        let now = self.timer.now();
        let mut inner = self.lock();
        inner.directory.expire(now);
        let Inner {
            digests,
            directory,
            roster,
            heard_from,
            me,
            ..
        } = &mut *inner;
        let members: BTreeSet<AgentId> = roster.others(me.entry).map(|other| other.entry).collect();
        digests.expire(directory, |entry| members.contains(&entry));
        heard_from.retain(|entry, _| members.contains(entry));
        directory.alive(now).count()
    }

    /// Whether the entry can serve clients: it holds a configuration and knows a home.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.timer.now();
        let inner = self.lock();
        inner.in_force.is_some() && !inner.tickets.homes(now).is_empty()
    }
}

/// Leaves out homes in zones that were taken out, as their hosts may go next; unless all are.
fn prefer_open(homes: &mut Vec<AgentId>, directory: &Directory, in_force: Option<&InForce>) {
    let Some(in_force) = in_force else {
        return;
    };
    let is_open = |home: &AgentId| directory.is_open(&in_force.document, *home);
    if homes.iter().any(is_open) {
        homes.retain(is_open);
    }
}
