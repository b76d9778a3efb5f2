//! Configuration changes whose outcome is unknown.

use {
    super::ChangeOutcome,
    crate::core::{message::Closing, time::Instant},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time after which an abandoned write can no longer take effect, in milliseconds.
///
/// Assumes that the platform drops requests that have waited this long.
const WRITE_LIFETIME_MS: u64 = 30_000;

/// Identifies a change started by this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ChangeId(u64);

#[derive(Debug)]
struct PendingChange {
    version: u64,
    closing: BTreeSet<Closing>,
    ended_at: Option<Instant>,
}

/// This entry's changes whose outcome no head read has resolved yet.
///
/// A write without a reply may have closed a zone. Until the outcome is known the zone counts as
/// closed, so that entries don't grant permits there while the platform is down.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    next_id: u64,
    changes: BTreeMap<ChangeId, PendingChange>,
}

impl PendingChanges {
    /// Registers a change to `version` before it is written.
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

    /// Records the outcome of the write.
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

    /// Drops the changes resolved by a head row of this version, requested at `requested_at`.
    ///
    /// A version that is not lower resolves a change either way, because its write requires the
    /// row to be at the preceding version. A lower one resolves it only once the write has
    /// expired.
    pub(crate) fn record_head_read(&mut self, requested_at: Instant, version: u64) {
        self.changes.retain(|_, change| {
            let is_decided = version >= change.version;
            let is_expired = change
                .ended_at
                .is_some_and(|ended_at| requested_at.millis_since(ended_at) >= WRITE_LIFETIME_MS);
            !(is_decided || is_expired)
        });
    }

    /// Zones and workers that a pending change may close.
    pub(crate) fn closing(&self) -> BTreeSet<Closing> {
        self.changes
            .values()
            .flat_map(|change| change.closing.iter().cloned())
            .collect()
    }

    /// Whether a pending change may close this worker.
    pub(crate) fn may_close(&self, availability_zone: &str, worker: &str) -> bool {
        let mut closing = self.changes.values().flat_map(|change| &change.closing);
        closing.any(|closing| closing.covers(availability_zone, worker))
    }
}
