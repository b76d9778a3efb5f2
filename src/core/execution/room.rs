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
const ROOM_REPORT_MS: u64 = 20;
/// Time for which room is offered to one entry alone, in milliseconds: an order comes within a round trip
/// of two to six, and a slot that is offered in vain is idle no longer than a fifth of a short task.
const OFFER_MS: u64 = 10;

/// Time after which a wish that was not repeated is forgotten, in milliseconds: its task runs elsewhere by then,
/// or was given up, and the entry may have smaller ones that fit.
const WISH_MS: u64 = 500;

/// What an entry was turned away with.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish {
    /// The least of it.
    needs: Resources,
    /// When the entry was last turned away or served.
    renewed_at: Instant,
}

/// What one entry was told of the worker's room.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldRoom {
    /// The newest report.
    pub(super) reported: Option<CapacityReport>,
    /// When it was made.
    pub(super) reported_at: Instant,
    /// A run of the entry's was ordered, refused or has ended since.
    pub(super) due: bool,
    /// What the entry still wants room for.
    wish: Option<Wish>,
}

impl ToldRoom {
    /// Whether the entry waits for room of which there is enough.
    fn waits_for(&self, free: Resources) -> bool {
        self.wish.is_some_and(|wish| wish.needs.fits(free))
    }

    /// An entry that was told nothing.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            reported: None,
            reported_at: now,
            due: true,
            wish: None,
        }
    }
}

/// Room that is offered to one entry alone.
#[derive(Debug, Clone, Copy)]
pub(super) struct Offer {
    session: SessionId,
    since: Instant,
    /// Orders that the entry had sent when the offer was made.
    starts_seen: u32,
}

impl Executor {
    /// Notes that an entry has work which found no room.
    pub(super) fn note_wish(&mut self, now: Instant, session: SessionId, needs: Resources) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        let least = link.room.wish.map(|wish| wish.needs);
        let needs = least.filter(|least| least.fits(needs)).unwrap_or(needs);
        link.room.wish = Some(Wish {
            needs,
            renewed_at: now,
        });
    }

    /// Notes that an entry has nothing more to start here: what was offered to it goes to the next one at once.
    pub(super) fn end_wish(&mut self, session: SessionId) {
        if let Some(link) = self.sessions.get_mut(&session) {
            link.room.wish = None;
        }
        if self.offer.is_some_and(|offer| offer.session == session) {
            self.offer = None;
        }
    }

    fn forget_old_wishes(&mut self, now: Instant) {
        let is_old = |wish: Wish| now.millis_since(wish.renewed_at) >= WISH_MS;
        for link in self.sessions.values_mut() {
            if link.room.wish.is_some_and(is_old) {
                link.room.wish = None;
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
    pub(super) fn report_room(&mut self, now: Instant) {
        let free = match self.worker.as_ref() {
            Some(worker) if worker.ready => self.free(),
            Some(_) | None => Resources::default(),
        };
        self.forget_old_wishes(now);
        self.end_offer(now, free);
        self.make_offer(now, free);
        let offered = self.offer.map(|offer| offer.session);
        let entries = u16::try_from(self.sessions.len()).unwrap_or(u16::MAX);
        for (session, link) in &mut self.sessions {
            let waits = link.room.wish.is_some() && offered != Some(*session);
            let report = CapacityReport {
                free: if waits { Resources::default() } else { free },
                starts_seen: link.starts_seen,
                entries,
            };
            let is_due = link.room.due
                || offered == Some(*session)
                || now.millis_since(link.room.reported_at) >= ROOM_REPORT_MS;
            if link.room.reported == Some(report) || !is_due {
                continue;
            }
            link.room.reported = Some(report);
            link.room.reported_at = now;
            link.room.due = false;
            self.actions.push(ExecutionAction::Send {
                session: *session,
                frame: AgentFrame::Room(report),
            });
        }
    }

    /// Ends an offer that was taken up, that can't be any more, or that was left alone.
    fn end_offer(&mut self, now: Instant, free: Resources) {
        let Some(offer) = self.offer else {
            return;
        };
        let Some(link) = self.sessions.get_mut(&offer.session) else {
            self.offer = None;
            return;
        };
        let fits = link.room.waits_for(free);
        let taken_up = link.starts_seen != offer.starts_seen;
        let left_alone = now.millis_since(offer.since) >= OFFER_MS;
        match &mut link.room.wish {
            Some(wish) if taken_up => wish.renewed_at = now,
            Some(_) if left_alone => link.room.wish = None,
            Some(_) | None => {}
        }
        if taken_up || left_alone || !fits {
            self.offer = None;
        }
    }

    fn make_offer(&mut self, now: Instant, free: Resources) {
        if self.offer.is_some() {
            return;
        }
        let runs_of = |session: SessionId| {
            let runs = self.runs.values();
            runs.filter(|run| run.session == session).count()
        };
        let waiting = self.sessions.iter();
        let waiting = waiting.filter(|(_, link)| link.room.waits_for(free));
        let next =
            waiting.min_by_key(|(session, link)| (runs_of(**session), link.room.reported_at));
        self.offer = next.map(|(session, link)| Offer {
            session: *session,
            since: now,
            starts_seen: link.starts_seen,
        });
    }
}
