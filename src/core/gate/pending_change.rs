//! Changes of the configuration that may or may not have taken effect.

use {
    super::ChangeOutcome,
    crate::core::{message::Closing, time::Instant},
    std::collections::{BTreeMap, BTreeSet},
};

/// Longest time for which a write that was given up may still take effect, in milliseconds.
///
/// An assumption on the platform: it drops a request that has waited this long.
const WRITE_LIFETIME_MS: u64 = 30_000;

/// Names one change that this entry has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ChangeId(u64);

#[derive(Debug)]
struct PendingChange {
    version: u64,
    closing: BTreeSet<Closing>,
    ended_at: Option<Instant>,
}

/// This entry's changes whose outcome the head row has not shown yet.
///
/// Guards against an entry that writes a change, gets no reply, and says that nothing is
/// changing: while the platform is down, all entries would go on granting permits in a zone
/// that the lost write has closed. Until a reading settles the matter the zone counts as closed.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    next_id: u64,
    changes: BTreeMap<ChangeId, PendingChange>,
}

impl PendingChanges {
    /// A change to `version` is about to be written.
    pub(crate) fn begin(&mut self, version: u64, closing: BTreeSet<Closing>) -> ChangeId {
        self.next_id += 1;
        let id = ChangeId(self.next_id);
        let change = PendingChange {
            version,
            closing,
            ended_at: None,
        };
        self.changes.insert(id, change);
        id
    }

    /// The write ended.
    pub(crate) fn finish(&mut self, now: Instant, id: ChangeId, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::NotApplied => {
                self.changes.remove(&id);
            }
            ChangeOutcome::MaybeApplied => {
                if let Some(change) = self.changes.get_mut(&id) {
                    change.ended_at = Some(now);
                }
            }
        }
    }

    /// The head row, asked for at `requested_at`, had this version.
    ///
    /// A version that is not lower settles a change either way, as its write needed the row to
    /// be at the version before. A lower one settles it only when the write can't land any more.
    pub(crate) fn record_head_read(&mut self, requested_at: Instant, version: u64) {
        self.changes.retain(|_, change| {
            let is_decided = version >= change.version;
            let is_expired = change
                .ended_at
                .is_some_and(|ended_at| requested_at.millis_since(ended_at) >= WRITE_LIFETIME_MS);
            !(is_decided || is_expired)
        });
    }

    /// What may be closing.
    pub(crate) fn closing(&self) -> BTreeSet<Closing> {
        self.changes
            .values()
            .flat_map(|change| change.closing.iter().cloned())
            .collect()
    }

    /// Whether a change may be closing this worker.
    pub(crate) fn may_close(&self, availability_zone: &str, worker: &str) -> bool {
        let mut closing = self.changes.values().flat_map(|change| &change.closing);
        closing.any(|closing| closing.covers(availability_zone, worker))
    }
}
