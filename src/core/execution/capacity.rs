//! Reports of free capacity to entries, and its reservation for one entry at a time.

use {
    super::{ExecutionAction, Executor, SessionId, capacity_shares::CapacityShares},
    crate::core::{
        link::{AgentFrame, CapacityReport},
        time::Instant,
        work::Resources,
    },
    std::cmp::Reverse,
};

/// Minimum time between capacity reports that no entry is waiting for, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// The same for a report that changes whether another task fits, in milliseconds.
const FIT_REPORT_INTERVAL_MS: u64 = 20;
/// Time for which free capacity is reserved for one entry, in milliseconds; longer than a round
/// trip of two to six, and an unused slot stays idle for at most a fifth of a short task.
const RESERVATION_MS: u64 = 10;

/// Time after which a capacity request that was not renewed expires, in milliseconds; its task runs
/// elsewhere or was given up by then, and the entry may have smaller tasks that fit.
const REQUEST_EXPIRY_MS: u64 = 500;

/// Capacity that an entry requested and did not get.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityRequest {
    /// The smallest request that was rejected.
    needs: Resources,
    /// When a start of the entry was last rejected, or used a reservation.
    renewed_at: Instant,
}

/// Capacity last reported to one entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedCapacity {
    pub(super) reported: Option<CapacityReport>,
    pub(super) reported_at: Instant,
    /// A run of this entry was started, rejected or finished since the last report.
    pub(super) due: bool,
    /// Capacity that the entry is waiting for.
    request: Option<CapacityRequest>,
}

impl ReportedCapacity {
    /// Whether the entry has an open request that fits into the free capacity.
    fn waits_for(&self, free: Resources) -> bool {
        self.request.is_some_and(|request| request.needs.fits(free))
    }

    pub(super) const fn new(now: Instant) -> Self {
        Self {
            reported: None,
            reported_at: now,
            due: true,
            request: None,
        }
    }
}

/// Free capacity that is reported to one waiting entry only.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityReservation {
    session: SessionId,
    since: Instant,
    /// Start orders received from the entry when the reservation was made.
    starts_seen: u32,
}

impl Executor {
    /// Records that a start of this entry did not fit.
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

    /// Clears the entry's request and releases its reservation, so that the next entry gets it at
    /// once.
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

    /// Reports free capacity to entries.
    ///
    /// An entry learns soon whether another task fits, and with some delay how much is free beyond
    /// that, which only decides between workers.
    ///
    /// If all waiting entries learned of each free slot, all would send a start for it and all but
    /// one would be rejected. So free capacity is reserved for one waiting entry at a time, the one
    /// that uses least for its share of the worker first; the other waiting entries see none.
    /// Entries that are not waiting see all of it.
    pub(super) fn report_capacity(&mut self, now: Instant) {
        let free = match self.worker.as_ref() {
            Some(worker) if worker.accepts_starts() => self.free(),
            Some(_) | None => Resources::default(),
        };
        self.expire_requests(now);
        self.release_reservation(now, free);
        let shares = self.shares();
        self.reserve_capacity(now, free, shares);
        let reserved_for = self.reservation.map(|reservation| reservation.session);
        let last_needs = self.last_needs;
        let slowness_permille = self.speed.slowness_permille();
        for (session, link) in &mut self.sessions {
            if link.retiring_since.is_some() {
                continue;
            }
            let is_waiting = link.capacity.request.is_some() && reserved_for != Some(*session);
            let report = CapacityReport {
                free: if is_waiting {
                    Resources::default()
                } else {
                    free
                },
                starts_seen: link.starts_seen,
                share_permille: shares.permille_of(link.demand_milli),
                slowness_permille,
            };
            let interval_ms = match link.capacity.reported {
                Some(known) if last_needs.fits(known.free) == last_needs.fits(report.free) => {
                    REPORT_INTERVAL_MS
                }
                Some(_) | None => FIT_REPORT_INTERVAL_MS,
            };
            let is_due = link.capacity.due
                || reserved_for == Some(*session)
                || now.millis_since(link.capacity.reported_at) >= interval_ms;
            if link.capacity.reported == Some(report) || !is_due {
                continue;
            }
            link.capacity.reported = Some(report);
            link.capacity.reported_at = now;
            link.capacity.due = false;
            link.stamped_at = Some(now);
            self.actions.push(ExecutionAction::Send {
                session: *session,
                frame: AgentFrame::Room {
                    report,
                    stamp_us: now.as_micros(),
                },
            });
        }
    }

    fn shares(&self) -> CapacityShares {
        let in_use = self.sessions.values();
        let in_use = in_use.filter(|link| link.retiring_since.is_none());
        CapacityShares::new(in_use.map(|link| link.demand_milli))
    }

    /// Releases a reservation that was used, has expired or no longer fits.
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

    fn reserve_capacity(&mut self, now: Instant, free: Resources, shares: CapacityShares) {
        if self.reservation.is_some() {
            return;
        }
        let waiting = self.sessions.iter();
        let waiting = waiting.filter(|(_, link)| link.capacity.waits_for(free));
        let next = waiting.min_by_key(|(session, link)| {
            let share_permille = u64::from(shares.permille_of(link.demand_milli).max(1));
            let use_of_share = self.capacity_use(now, **session) * 1_000 / share_permille;
            (
                use_of_share,
                Reverse(share_permille),
                link.capacity.reported_at,
            )
        });
        self.reservation = next.map(|(session, link)| CapacityReservation {
            session: *session,
            since: now,
            starts_seen: link.starts_seen,
        });
    }
}
