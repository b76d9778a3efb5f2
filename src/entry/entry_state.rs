//! What an entry knows: agents, tickets and the configuration in force.

use {
    crate::{
        core::{
            admission::fits_somewhere,
            config::{Document, Head, Service},
            directory::{Directory, HomeLocation},
            job::JobSpec,
            message::{Announcement, AnnouncementReply, Candidate, PeerEntry},
            placement::{active_homes, own_runners},
            ticket::{AgentId, Ticket, TicketOffice},
            time::Instant,
            verdict::NotRunReason,
        },
        ports::TimerService,
    },
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// For how long a runner may start tasks after an announcement, in milliseconds.
const PERMIT_MS: u64 = 3_000;
/// Age of the last reading of the head row up to which permits are granted, in milliseconds.
const HEAD_FRESH_MS: u64 = 2_000;
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

#[derive(Debug)]
struct Inner {
    directory: Directory,
    tickets: TicketOffice,
    in_force: Option<InForce>,
    head_read_at: Option<Instant>,
    /// Homes that a call failed at since they last announced themselves.
    failed_homes: BTreeSet<AgentId>,
    rng: ChaCha8Rng,
}

/// Shared by all parts of an entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    me: PeerEntry,
    timer: Arc<dyn TimerService>,
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
}

impl EntryState {
    /// An entry that knows nobody yet.
    pub(crate) fn new(me: PeerEntry, timer: Arc<dyn TimerService>, seed: u64) -> Self {
        Self {
            me,
            timer,
            inner: Mutex::new(Inner {
                directory: Directory::default(),
                tickets: TicketOffice::default(),
                in_force: None,
                head_read_at: None,
                failed_homes: BTreeSet::new(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an announcement in and answers it.
    pub(crate) fn announce(&self, mut announcement: Announcement) -> AnnouncementReply {
        let now = self.timer.now();
        let mut inner = self.lock();
        let zone = announcement.availability_zone.clone();
        match announcement.grant.take() {
            Some(grant) => inner.tickets.receive(now, grant),
            None => inner.tickets.forget(announcement.agent),
        }
        let successors = inner.successors_of(now, &announcement);
        inner.failed_homes.remove(&announcement.agent);
        inner.directory.announce(now, announcement);
        let head_is_fresh = inner
            .head_read_at
            .is_some_and(|read_at| now.millis_since(read_at) < HEAD_FRESH_MS);
        let in_force = inner.in_force.as_ref();
        AnnouncementReply {
            roster: vec![self.me.clone()],
            successors,
            config_version: in_force.map_or(0, |in_force| in_force.head.version),
            zone_open: in_force.is_some_and(|in_force| in_force.document.zone_is_open(&zone)),
            permit_ms: if head_is_fresh { PERMIT_MS } else { 0 },
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
        inner.head_read_at = inner.head_read_at.max(Some(read_at));
        let held = inner.in_force.as_ref().map_or(0, |held| held.head.version);
        if let Some(newer) = newer
            && newer.head.version > held
        {
            log::info!(version = newer.head.version; "configuration in force");
            inner.in_force = Some(newer);
        }
    }

    /// Mints up to `count` tickets, spread over the homes at random.
    pub(crate) fn mint(&self, count: usize) -> Vec<Ticket> {
        let now = self.timer.now();
        let mut inner = self.lock();
        let Inner {
            directory,
            tickets,
            failed_homes,
            rng,
            ..
        } = &mut *inner;
        let mut homes = tickets.homes(now);
        homes.retain(|home| directory.takes_work(now, *home));
        let mut spare = homes.clone();
        homes.retain(|home| !failed_homes.contains(home));
        let mut homes = active_homes(homes);
        if homes.is_empty() {
            homes.append(&mut spare);
        }
        spare.retain(|home| !homes.contains(home));
        let mut minted = Vec::with_capacity(count);
        while minted.len() < count && !homes.is_empty() {
            let pick = rng.random_range(0..homes.len());
            match tickets.mint(now, homes[pick]) {
                Some(ticket) => minted.push(ticket),
                None => {
                    homes.swap_remove(pick);
                    if homes.is_empty() {
                        homes.append(&mut spare);
                    }
                }
            }
        }
        minted
    }

    /// Gives new jobs to other homes, if there are any, until this one announces itself again.
    ///
    /// Guards against jobs for a home that has just died: its silence shows only after seconds,
    /// and every job given to it until then ends as "may have run".
    pub(crate) fn home_failed(&self, home: AgentId) {
        self.lock().failed_homes.insert(home);
    }

    /// Where a home is.
    pub(crate) fn locate(&self, home: AgentId) -> HomeLocation {
        self.lock().directory.locate(home)
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
    pub(crate) fn candidates(&self, name: &str, home: AgentId) -> Vec<Candidate> {
        let now = self.timer.now();
        let inner = self.lock();
        let Some(in_force) = &inner.in_force else {
            return Vec::new();
        };
        let Some(service) = in_force.document.services.get(name) else {
            return Vec::new();
        };
        let mut candidates = inner
            .directory
            .candidates(now, &in_force.document, name, service);
        let mut homes = inner.tickets.homes(now);
        homes.retain(|home| {
            inner.directory.takes_work(now, *home) && !inner.failed_homes.contains(home)
        });
        let runners = candidates.iter().map(|c| c.runner).collect();
        let own = own_runners(home, &active_homes(homes), runners);
        for candidate in &mut candidates {
            candidate.own = own.contains(&candidate.runner);
        }
        candidates
    }

    /// The listed agents with their silence in milliseconds.
    pub(crate) fn agents(&self) -> Vec<(Announcement, u64)> {
        let now = self.timer.now();
        self.lock()
            .directory
            .listed()
            .map(|view| (view.announcement.clone(), now.millis_since(view.heard_at)))
            .collect()
    }

    /// Drops what is out of date and counts who is alive.
    pub(crate) fn expire(&self) -> usize {
        let now = self.timer.now();
        let mut inner = self.lock();
        let Inner {
            directory,
            failed_homes,
            ..
        } = &mut *inner;
        directory.expire(now);
        // Silent ones get no jobs anyway.
        failed_homes.retain(|home| directory.takes_work(now, *home));
        inner.directory.alive(now).count()
    }

    /// Whether the entry can serve clients: it holds a configuration and knows a home.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.timer.now();
        let inner = self.lock();
        inner.in_force.is_some() && !inner.tickets.homes(now).is_empty()
    }
}
