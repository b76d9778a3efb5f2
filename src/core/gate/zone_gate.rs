//! Decides when an entry may grant permits.

use {
    super::pending_change::{ChangeId, PendingChanges},
    crate::core::{
        message::{Closing, GateStatus},
        ticket::AgentId,
        time::Instant,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Validity of a permit, counted from the runner's announcement, in milliseconds.
pub(crate) const PERMIT_DURATION_MS: u64 = 3_000;
/// Age from which a head read or another entry's status is ignored, in milliseconds.
pub(crate) const MAX_AGE_MS: u64 = 2_000;

/// Another entry that may change the configuration.
#[derive(Debug)]
struct Member {
    known_since: Instant,
    /// When its status was requested, and the status it returned.
    reply: Option<(Instant, GateStatus)>,
}

/// Outcome of a configuration change, as far as its writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// It did not take effect and never will.
    NotApplied,
    /// It took effect, or its outcome is unknown.
    MaybeApplied,
}

/// Decides whether this entry may grant permits, and to which workers.
///
/// A permit expires at most `MAX_AGE_MS + PERMIT_DURATION_MS` after the last moment at which the
/// configuration it is based on was known to be the newest. Either the head row was read at that
/// moment, by this entry or by one that reports the age of its read; or every entry able to change
/// the configuration was queried then, held no newer version and had no pending closing. The proof
/// is in `docs/design/zone-gate.md`.
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
    /// Creates a gate that grants permits without the platform for at most `outage_limit_ms`.
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

    /// Records that this entry's roster row was written by a call sent at `sent_at`.
    ///
    /// Entries that don't see this entry's row close zones without querying it. A row is removed no
    /// sooner than `outage_limit_ms` after its last write, and grants without the platform end by
    /// then.
    pub(crate) fn record_row_written(&mut self, sent_at: Instant) {
        self.row_written_at = self.row_written_at.max(Some(sent_at));
    }

    /// Records a read of the head row that was requested at `requested_at`.
    pub(crate) fn record_head_read(&mut self, requested_at: Instant, version: u64) {
        self.record_version(version);
        self.head_read_at = self.head_read_at.max(Some(requested_at));
        self.changes.record_head_read(requested_at, version);
    }

    /// Records a configuration version held here, from the platform or another entry.
    pub(crate) fn record_version(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.newest_known_version = self.newest_known_version.max(version);
    }

    /// Applies a roster scan without this entry, requested at `requested_at`.
    ///
    /// The head row must be read after the scan. A removed entry had its row when it wrote its last
    /// change, so that read shows the change. Members added since the scan was requested stay,
    /// because it may have missed their rows.
    pub(crate) fn record_roster_read(&mut self, requested_at: Instant, others: &BTreeSet<AgentId>) {
        self.members
            .retain(|entry, member| others.contains(entry) || member.known_since >= requested_at);
        for entry in others {
            self.add_member(requested_at, *entry);
        }
        self.roster_known = true;
    }

    /// Adds an entry that announced itself, or confirms it at `now`.
    pub(crate) fn add_member(&mut self, now: Instant, entry: AgentId) {
        let member = self.members.entry(entry).or_insert(Member {
            known_since: now,
            reply: None,
        });
        member.known_since = member.known_since.max(now);
    }

    /// Records an entry's status, returned for a query sent at `sent_at`.
    pub(crate) fn record_status(&mut self, sent_at: Instant, entry: AgentId, status: GateStatus) {
        self.newest_known_version = self.newest_known_version.max(status.version);
        if let Some(member) = self.members.get_mut(&entry)
            && member.reply.as_ref().is_none_or(|(at, _)| *at <= sent_at)
        {
            member.reply = Some((sent_at, status));
        }
    }

    /// Whether the roster was read under this entry's current identity.
    pub(crate) const fn knows_roster(&self) -> bool {
        self.roster_known
    }

    /// Whether every other entry has replied, and so has added this one as a member.
    ///
    /// Entries that don't know this one would not query it while the platform is down, and would
    /// keep a zone open that it closed.
    pub(crate) fn is_known_to_all(&self) -> bool {
        self.roster_known && self.members.values().all(|member| member.reply.is_some())
    }

    /// Registers a change with these closings before this entry writes it.
    pub(crate) fn begin_change(&mut self, version: u64, closing: BTreeSet<Closing>) -> ChangeId {
        self.changes.begin(version, closing)
    }

    /// Records the outcome of a change's write.
    pub(crate) fn finish_change(&mut self, now: Instant, change: ChangeId, outcome: ChangeOutcome) {
        self.changes.finish(now, change, outcome);
    }

    /// Clears the roster's state when this entry's row no longer exists.
    pub(crate) fn clear_roster(&mut self) {
        self.roster_known = false;
        self.row_written_at = None;
        self.members.clear();
    }

    /// The status to report to other entries.
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

    /// Whether permits may be granted to a worker that is open in the version held.
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

    /// Whether this entry's row can't have been removed yet.
    fn is_on_roster(&self, now: Instant) -> bool {
        self.row_written_at
            .is_some_and(|sent_at| age_ms(now, sent_at) < self.outage_limit_ms)
    }

    /// Whether a pending change of this entry may close the worker.
    pub(crate) fn is_closing(&self, availability_zone: &str, worker: &str) -> bool {
        self.changes.may_close(availability_zone, worker)
    }

    /// Whether this or another entry has read the head row recently.
    ///
    /// Versions are not compared here: a version newer than this entry's stops all permits, and a
    /// read of an older one also shows that nothing newer existed.
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

    /// Whether every entry was queried recently and reported no pending closing of the worker.
    ///
    /// An entry reports its finished changes as its version; a newer version stops permits until
    /// this entry holds it too.
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

/// Age in milliseconds, rounded up so that it is never underestimated.
const fn age_ms(now: Instant, then: Instant) -> u64 {
    now.micros_since(then).div_ceil(1_000)
}
