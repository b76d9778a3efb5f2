//! Which entry is told of free room, and when.

use {
    super::{ExecutionAction, Executor, SessionId},
    crate::core::{
        link::{AgentFrame, CapacityReport},
        time::Instant,
        work::Resources,
    },
};

/// Least pause between reports of free room that nobody waits for, in milliseconds.
///
/// A task runs 50 ms or more, so a figure of this age is off by less than one task in two; shorter
/// pauses cost a message for each start and entry.
const REPORT_INTERVAL_MS: u64 = 20;
/// Time for which room is offered to one entry alone, in milliseconds: an order comes within a round trip
/// of two to six, and a slot that is offered in vain is idle no longer than a fifth of a short task.
const RESERVATION_MS: u64 = 10;

/// Time after which a wish that was not repeated is forgotten, in milliseconds: its task runs elsewhere by then,
/// or was given up, and the entry may have smaller ones that fit.
const REQUEST_EXPIRY_MS: u64 = 500;

/// What an entry was turned away with.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityRequest {
    /// The least of it.
    needs: Resources,
    /// When the entry was last turned away or served.
    renewed_at: Instant,
}

/// What one entry was told of the worker's room.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedCapacity {
    /// The newest report.
    pub(super) reported: Option<CapacityReport>,
    /// When it was made.
    pub(super) reported_at: Instant,
    /// A run of the entry's was ordered, refused or has ended since.
    pub(super) due: bool,
    /// What the entry still wants room for.
    request: Option<CapacityRequest>,
}

impl ReportedCapacity {
    /// Whether the entry waits for room of which there is enough.
    fn waits_for(&self, free: Resources) -> bool {
        self.request.is_some_and(|request| request.needs.fits(free))
    }

    /// An entry that was told nothing.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            reported: None,
            reported_at: now,
            due: true,
            request: None,
        }
    }
}

/// Room that is offered to one entry alone.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityReservation {
    session: SessionId,
    since: Instant,
    /// Orders that the entry had sent when the offer was made.
    starts_seen: u32,
}

impl Executor {
    /// Notes that an entry has work which found no room.
    pub(super) fn record_request(&mut self, now: Instant, session: SessionId, needs: Resources) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        let smallest = link.capacity.request.map(|request| request.needs);
        let needs = smallest
            .filter(|smallest| smallest.fits(needs))
            .unwrap_or(needs);
        link.capacity.request = Some(CapacityRequest {
            needs,
            renewed_at: now,
        });
    }

    /// Notes that an entry has nothing more to start here: what was offered to it goes to the next one at once.
    pub(super) fn clear_request(&mut self, session: SessionId) {
        if let Some(link) = self.sessions.get_mut(&session) {
            link.capacity.request = None;
        }
        if self
            .reservation
            .is_some_and(|reservation| reservation.session == session)
        {
            self.reservation = None;
        }
    }

    fn expire_requests(&mut self, now: Instant) {
        let is_expired =
            |request: CapacityRequest| now.millis_since(request.renewed_at) >= REQUEST_EXPIRY_MS;
        for link in self.sessions.values_mut() {
            if link.capacity.request.is_some_and(is_expired) {
                link.capacity.request = None;
            }
        }
    }

    /// Tells entries what is free for them.
    ///
    /// Load that this answers: more work than a site can take at once, waiting at several entries. Were all
    /// told of each slot that becomes free, all would order it and all but one be turned away, five
    /// thousand times a second at eight entries. So an entry that was turned away is told of room when it is its
    /// turn, the one with the fewest runs here first, and none of those that wait is told at the same
    /// time. An entry that was not turned away hears what is free as on a calm day.
    pub(super) fn report_capacity(&mut self, now: Instant) {
        let free = match self.worker.as_ref() {
            Some(worker) if worker.ready => self.free(),
            Some(_) | None => Resources::default(),
        };
        self.expire_requests(now);
        self.release_reservation(now, free);
        self.reserve_capacity(now, free);
        let reserved_for = self.reservation.map(|reservation| reservation.session);
        let entries = u16::try_from(self.sessions.len()).unwrap_or(u16::MAX);
        for (session, link) in &mut self.sessions {
            let is_waiting = link.capacity.request.is_some() && reserved_for != Some(*session);
            let report = CapacityReport {
                free: if is_waiting {
                    Resources::default()
                } else {
                    free
                },
                starts_seen: link.starts_seen,
                entries,
            };
            let is_due = link.capacity.due
                || reserved_for == Some(*session)
                || now.millis_since(link.capacity.reported_at) >= REPORT_INTERVAL_MS;
            if link.capacity.reported == Some(report) || !is_due {
                continue;
            }
            link.capacity.reported = Some(report);
            link.capacity.reported_at = now;
            link.capacity.due = false;
            self.actions.push(ExecutionAction::Send {
                session: *session,
                frame: AgentFrame::Room(report),
            });
        }
    }

    /// Ends an offer that was taken up, that can't be any more, or that was left alone.
    fn release_reservation(&mut self, now: Instant, free: Resources) {
        let Some(reservation) = self.reservation else {
            return;
        };
        let Some(link) = self.sessions.get_mut(&reservation.session) else {
            self.reservation = None;
            return;
        };
        let fits = link.capacity.waits_for(free);
        let was_used = link.starts_seen != reservation.starts_seen;
        let has_expired = now.millis_since(reservation.since) >= RESERVATION_MS;
        match &mut link.capacity.request {
            Some(request) if was_used => request.renewed_at = now,
            Some(_) if has_expired => link.capacity.request = None,
            Some(_) | None => {}
        }
        if was_used || has_expired || !fits {
            self.reservation = None;
        }
    }

    fn reserve_capacity(&mut self, now: Instant, free: Resources) {
        if self.reservation.is_some() {
            return;
        }
        let runs_of = |session: SessionId| {
            let runs = self.runs.values();
            runs.filter(|run| run.session == session).count()
        };
        let waiting = self.sessions.iter();
        let waiting = waiting.filter(|(_, link)| link.capacity.waits_for(free));
        let next =
            waiting.min_by_key(|(session, link)| (runs_of(**session), link.capacity.reported_at));
        self.reservation = next.map(|(session, link)| CapacityReservation {
            session: *session,
            since: now,
            starts_seen: link.starts_seen,
        });
    }
}
