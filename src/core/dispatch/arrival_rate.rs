//! Rate of arriving work.

use {crate::core::time::Instant, std::collections::BTreeMap};

/// Time constant of the exponential decay, in milliseconds.
const DECAY_TIME_MS: u64 = 1_000;

/// Exponentially decaying sum of the submitted work, by priority.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    by_priority: BTreeMap<u32, DecayingSum>,
}

#[derive(Debug, Default)]
struct DecayingSum {
    work_ms: f64,
    updated_at: Instant,
}

impl DecayingSum {
    fn at(&self, now: Instant) -> f64 {
        let age_us = now.micros_since(self.updated_at) as f64;
        self.work_ms * (-age_us / (DECAY_TIME_MS as f64 * 1_000.0)).exp()
    }
}

impl ArrivalRate {
    pub(super) fn record(&mut self, now: Instant, priority: u32, work_ms: u64) {
        let sum = self.by_priority.entry(priority).or_default();
        sum.work_ms = sum.at(now) + work_ms as f64;
        sum.updated_at = now;
    }

    /// Arrival rate of work with a more urgent priority, in milliseconds of work per millisecond.
    pub(super) fn more_urgent_than(&self, now: Instant, priority: u32) -> f64 {
        let sums = self.by_priority.range(..priority);
        sums.map(|(_, sum)| sum.at(now)).sum::<f64>() / DECAY_TIME_MS as f64
    }
}
