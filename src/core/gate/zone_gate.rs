//! The rule by which an entry grants permits.

use {
    super::pending_change::{ChangeId, PendingChanges},
    crate::core::{
        message::{Closing, GateStatus},
        ticket::AgentId,
        time::Instant,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// For how long a runner may start tasks after an announcement, in milliseconds.
pub(crate) const PERMIT_MS: u64 = 3_000;
/// Age up to which a reading or another entry's word counts, in milliseconds.
pub(crate) const FRESH_MS: u64 = 2_000;

/// Another entry that may change the configuration.
#[derive(Debug)]
struct Member {
    known_since: Instant,
    /// When it was asked, and what it answered.
    said: Option<(Instant, GateStatus)>,
}

/// How a change ended, as far as its writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeEnd {
    /// It certainly did not take effect and never will.
    Refused,
    /// It took effect, or nobody can say.
    MayHaveLanded,
}

/// Decides whether this entry may grant permits, and to which workers.
///
/// A permit never outlasts by more than `FRESH_MS + PERMIT_MS` the moment at which the
/// configuration it rests on was certainly the newest. That moment is known in two ways: the
/// head row was read then (by this entry, or by another one that says how long ago), or every
/// entry that could change the configuration was asked then, held no newer version and was
/// closing nothing. The proof is in `docs/design/zone-gate.md`.
#[derive(Debug)]
pub(crate) struct ZoneGate {
    outage_limit_ms: u64,
    version: u64,
    newest_heard: u64,
    read_at: Option<Instant>,
    row_written_at: Option<Instant>,
    roster_known: bool,
    members: BTreeMap<AgentId, Member>,
    changes: PendingChanges,
}

impl ZoneGate {
    /// A gate that grants permits without the platform for at most `outage_limit_ms`.
    pub(crate) fn new(outage_limit_ms: u64) -> Self {
        Self {
            outage_limit_ms,
            version: 0,
            newest_heard: 0,
            read_at: None,
            row_written_at: None,
            roster_known: false,
            members: BTreeMap::new(),
            changes: PendingChanges::default(),
        }
    }

    /// This entry's row stood on the roster when it was written, by a call sent at `sent_at`.
    ///
    /// Guards against an entry that is cut from the platform and from new entries: its row is
    /// removed, a new entry closes a zone without asking it, and it would grant permits there
    /// for good. Nobody removes a row before `outage_limit_ms` after its last write, and the
    /// right to grant without the platform ends by then.
    pub(crate) fn row_written(&mut self, sent_at: Instant) {
        self.row_written_at = self.row_written_at.max(Some(sent_at));
    }

    /// Takes in a reading of the head row that was asked for at `asked_at`.
    pub(crate) fn head_read(&mut self, asked_at: Instant, version: u64) {
        self.hold(version);
        self.read_at = self.read_at.max(Some(asked_at));
        self.changes.head_read(asked_at, version);
    }

    /// Takes in a configuration, read from the platform or passed on by another entry.
    pub(crate) fn hold(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.newest_heard = self.newest_heard.max(version);
    }

    /// Takes in the roster without this entry, scanned at `asked_at`, before the head was read.
    ///
    /// Guards against a change by an entry that left: its row was there when it wrote, so a
    /// head row read after the row was seen gone shows that change. One that made itself known
    /// after the scan began stays, as the scan may have missed its row.
    pub(crate) fn roster_read(&mut self, asked_at: Instant, others: &BTreeSet<AgentId>) {
        self.members
            .retain(|entry, member| others.contains(entry) || member.known_since >= asked_at);
        for entry in others {
            self.meet(asked_at, *entry);
        }
        self.roster_known = true;
    }

    /// An entry made itself known: it counts from now on.
    pub(crate) fn meet(&mut self, now: Instant, entry: AgentId) {
        let member = self.members.entry(entry).or_insert(Member {
            known_since: now,
            said: None,
        });
        member.known_since = member.known_since.max(now);
    }

    /// Takes in what an entry answered to a question sent at `asked_at`.
    pub(crate) fn heard(&mut self, asked_at: Instant, entry: AgentId, status: GateStatus) {
        self.newest_heard = self.newest_heard.max(status.version);
        if let Some(member) = self.members.get_mut(&entry)
            && member.said.as_ref().is_none_or(|(at, _)| *at <= asked_at)
        {
            member.said = Some((asked_at, status));
        }
    }

    /// Whether the roster was read under the present identity.
    pub(crate) const fn knows_roster(&self) -> bool {
        self.roster_known
    }

    /// Whether every other entry has answered, so that all of them count this one.
    ///
    /// Guards against a change by an entry that the others don't know of: they would not ask
    /// it while the platform is down, and keep a zone open that it closed.
    pub(crate) fn is_known_to_all(&self) -> bool {
        self.roster_known && self.members.values().all(|member| member.said.is_some())
    }

    /// Notes that this entry is about to write a change that closes these.
    pub(crate) fn begin_change(&mut self, version: u64, closing: BTreeSet<Closing>) -> ChangeId {
        self.changes.begin(version, closing)
    }

    /// Notes how a change's write ended.
    pub(crate) fn end_change(&mut self, now: Instant, change: ChangeId, end: ChangeEnd) {
        self.changes.end(now, change, end);
    }

    /// Forgets what was agreed under an identity that the roster no longer has.
    pub(crate) fn forget_roster(&mut self) {
        self.roster_known = false;
        self.row_written_at = None;
        self.members.clear();
    }

    /// What to tell other entries now.
    pub(crate) fn status(&self, now: Instant) -> GateStatus {
        GateStatus {
            version: self.version,
            closing: self.changes.closing(),
            head_age_ms: self
                .read_at
                .map(|read_at| age_ms(now, read_at))
                .filter(|age_ms| *age_ms < FRESH_MS),
        }
    }

    /// Whether permits may be granted now to a worker that is open in the version held.
    pub(crate) fn grants(&self, now: Instant, availability_zone: &str, worker: &str) -> bool {
        if !self.roster_known || self.version < self.newest_heard {
            return false;
        }
        if self.changes.closes(availability_zone, worker) {
            return false;
        }
        self.head_is_fresh(now)
            || (self.is_on_roster(now) && self.nobody_changes(now, availability_zone, worker))
    }

    /// Whether nobody can have removed this entry's row yet.
    fn is_on_roster(&self, now: Instant) -> bool {
        self.row_written_at
            .is_some_and(|sent_at| age_ms(now, sent_at) < self.outage_limit_ms)
    }

    /// Whether a change of this entry's own may be closing the worker.
    pub(crate) fn is_closing(&self, availability_zone: &str, worker: &str) -> bool {
        self.changes.closes(availability_zone, worker)
    }

    /// Whether the head row was read lately, here or by another entry.
    ///
    /// Versions need no comparison: a higher one than the own stops all permits, and a reading
    /// that found a lower one shows all the more that nothing newer than the own was there.
    fn head_is_fresh(&self, now: Instant) -> bool {
        let here = self
            .read_at
            .is_some_and(|read_at| age_ms(now, read_at) < FRESH_MS);
        here || self.members.values().any(|member| {
            member.said.as_ref().is_some_and(|(asked_at, status)| {
                status
                    .head_age_ms
                    .is_some_and(|age| age_ms(now, *asked_at).saturating_add(age) < FRESH_MS)
            })
        })
    }

    /// Whether every entry was asked lately and was not closing the worker.
    ///
    /// What an entry had written before, it holds and names as its version, which stops permits
    /// here until it is held here too.
    fn nobody_changes(&self, now: Instant, availability_zone: &str, worker: &str) -> bool {
        self.members.values().all(|member| {
            member.said.as_ref().is_some_and(|(asked_at, status)| {
                age_ms(now, *asked_at) < FRESH_MS
                    && !status
                        .closing
                        .iter()
                        .any(|closing| closing.covers(availability_zone, worker))
            })
        })
    }
}

/// Age in milliseconds, rounded up, so that rounding never makes anything younger.
const fn age_ms(now: Instant, then: Instant) -> u64 {
    now.micros_since(then).div_ceil(1_000)
}
