//! Rate of arriving work.

use {
    crate::core::{queue_shares::DecayingSum, time::Instant},
    std::collections::BTreeMap,
};

/// Time constant of the rates by priority, in milliseconds; long enough to cover some hundred tasks
/// at an entry of a small site, short enough to follow a burst of a few seconds.
const DECAY_TIME_MS: u64 = 1_000;
/// Time constant of the total rate, in milliseconds; longer, since a few large jobs would otherwise
/// move capacity between entries.
const TOTAL_DECAY_TIME_MS: u64 = 4_000;

/// Exponentially decaying sums of the submitted work: all of it, and by priority.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    total: DecayingSum,
    by_priority: BTreeMap<u32, DecayingSum>,
}

impl Default for ArrivalRate {
    fn default() -> Self {
        Self {
            total: DecayingSum::new(TOTAL_DECAY_TIME_MS),
            by_priority: BTreeMap::new(),
        }
    }
}

impl ArrivalRate {
    pub(super) fn record(&mut self, now: Instant, priority: u32, work_ms: u64) {
        self.total.add(now, work_ms as f64);
        let by_priority = self.by_priority.entry(priority);
        let sum = by_priority.or_insert_with(|| DecayingSum::new(DECAY_TIME_MS));
        sum.add(now, work_ms as f64);
    }

    /// Arrival rate of all work, in milliseconds of work per millisecond.
    pub(super) fn total(&self, now: Instant) -> f64 {
        self.total.rate(now)
    }

    /// Arrival rate of work with a more urgent priority, in milliseconds of work per millisecond.
    pub(super) fn more_urgent_than(&self, now: Instant, priority: u32) -> f64 {
        let sums = self.by_priority.range(..priority);
        sums.map(|(_, sum)| sum.rate(now)).sum()
    }
}
