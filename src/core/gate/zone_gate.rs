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
pub(crate) const PERMIT_DURATION_MS: u64 = 3_000;
/// Age up to which a reading or another entry's word counts, in milliseconds.
pub(crate) const MAX_AGE_MS: u64 = 2_000;

/// Another entry that may change the configuration.
#[derive(Debug)]
struct Member {
    known_since: Instant,
    /// When it was asked, and what it answered.
    reply: Option<(Instant, GateStatus)>,
}

/// How a change ended, as far as its writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// It certainly did not take effect and never will.
    NotApplied,
    /// It took effect, or nobody can say.
    MaybeApplied,
}

/// Decides whether this entry may grant permits, and to which workers.
///
/// A permit never outlasts by more than `MAX_AGE_MS + PERMIT_DURATION_MS` the moment at which the
/// configuration it rests on was certainly the newest. That moment is known in two ways: the
/// head row was read then (by this entry, or by another one that says how long ago), or every
/// entry that could change the configuration was asked then, held no newer version and was
/// closing nothing. The proof is in `docs/design/zone-gate.md`.
#[derive(Debug)]
pub(crate) struct ZoneGate {
    outage_limit_ms: u64,
    version: u64,
    newest_known_version: u64,
    head_read_at: Option<Instant>,
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
            newest_known_version: 0,
            head_read_at: None,
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
    pub(crate) fn record_row_written(&mut self, sent_at: Instant) {
        self.row_written_at = self.row_written_at.max(Some(sent_at));
    }

    /// Takes in a reading of the head row that was asked for at `requested_at`.
    pub(crate) fn record_head_read(&mut self, requested_at: Instant, version: u64) {
        self.record_version(version);
        self.head_read_at = self.head_read_at.max(Some(requested_at));
        self.changes.record_head_read(requested_at, version);
    }

    /// Takes in a configuration, read from the platform or passed on by another entry.
    pub(crate) fn record_version(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.newest_known_version = self.newest_known_version.max(version);
    }

    /// Takes in the roster without this entry, scanned at `requested_at`, before the head was read.
    ///
    /// Guards against a change by an entry that left: its row was there when it wrote, so a
    /// head row read after the row was seen gone shows that change. One that made itself known
    /// after the scan began stays, as the scan may have missed its row.
    pub(crate) fn record_roster_read(&mut self, requested_at: Instant, others: &BTreeSet<AgentId>) {
        self.members
            .retain(|entry, member| others.contains(entry) || member.known_since >= requested_at);
        for entry in others {
            self.add_member(requested_at, *entry);
        }
        self.roster_known = true;
    }

    /// An entry made itself known: it counts from now on.
    pub(crate) fn add_member(&mut self, now: Instant, entry: AgentId) {
        let member = self.members.entry(entry).or_insert(Member {
            known_since: now,
            reply: None,
        });
        member.known_since = member.known_since.max(now);
    }

    /// Takes in what an entry answered to a question sent at `requested_at`.
    pub(crate) fn record_status(&mut self, sent_at: Instant, entry: AgentId, status: GateStatus) {
        self.newest_known_version = self.newest_known_version.max(status.version);
        if let Some(member) = self.members.get_mut(&entry)
            && member.reply.as_ref().is_none_or(|(at, _)| *at <= sent_at)
        {
            member.reply = Some((sent_at, status));
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
        self.roster_known && self.members.values().all(|member| member.reply.is_some())
    }

    /// Notes that this entry is about to write a change that closes these.
    pub(crate) fn begin_change(&mut self, version: u64, closing: BTreeSet<Closing>) -> ChangeId {
        self.changes.begin(version, closing)
    }

    /// Notes how a change's write ended.
    pub(crate) fn finish_change(&mut self, now: Instant, change: ChangeId, outcome: ChangeOutcome) {
        self.changes.finish(now, change, outcome);
    }

    /// Forgets what was agreed under an identity that the roster no longer has.
    pub(crate) fn clear_roster(&mut self) {
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
                .head_read_at
                .map(|read_at| age_ms(now, read_at))
                .filter(|age_ms| *age_ms < MAX_AGE_MS),
        }
    }

    /// Whether permits may be granted now to a worker that is open in the version held.
    pub(crate) fn may_grant(&self, now: Instant, availability_zone: &str, worker: &str) -> bool {
        if !self.roster_known || self.version < self.newest_known_version {
            return false;
        }
        if self.changes.may_close(availability_zone, worker) {
            return false;
        }
        self.head_is_fresh(now)
            || (self.is_on_roster(now) && self.no_member_is_closing(now, availability_zone, worker))
    }

    /// Whether nobody can have removed this entry's row yet.
    fn is_on_roster(&self, now: Instant) -> bool {
        self.row_written_at
            .is_some_and(|sent_at| age_ms(now, sent_at) < self.outage_limit_ms)
    }

    /// Whether a change of this entry's own may be closing the worker.
    pub(crate) fn is_closing(&self, availability_zone: &str, worker: &str) -> bool {
        self.changes.may_close(availability_zone, worker)
    }

    /// Whether the head row was read lately, here or by another entry.
    ///
    /// Versions need no comparison: a higher one than the own stops all permits, and a reading
    /// that found a lower one shows all the more that nothing newer than the own was there.
    fn head_is_fresh(&self, now: Instant) -> bool {
        let is_own_fresh = self
            .head_read_at
            .is_some_and(|read_at| age_ms(now, read_at) < MAX_AGE_MS);
        is_own_fresh
            || self.members.values().any(|member| {
                member.reply.as_ref().is_some_and(|(sent_at, status)| {
                    status
                        .head_age_ms
                        .is_some_and(|age| age_ms(now, *sent_at).saturating_add(age) < MAX_AGE_MS)
                })
            })
    }

    /// Whether every entry was asked lately and was not closing the worker.
    ///
    /// What an entry had written before, it holds and names as its version, which stops permits
    /// here until it is held here too.
    fn no_member_is_closing(&self, now: Instant, availability_zone: &str, worker: &str) -> bool {
        self.members.values().all(|member| {
            member.reply.as_ref().is_some_and(|(sent_at, status)| {
                age_ms(now, *sent_at) < MAX_AGE_MS
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
