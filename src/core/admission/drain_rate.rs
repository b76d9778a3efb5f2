//! Estimates how fast a home's queue drains.

use crate::core::time::Instant;

/// Time constant of the exponential decay, in microseconds.
const DECAY_TIME_US: f64 = 4_000_000.0;
/// Minimum time with a queue for an estimate, in microseconds.
const MIN_QUEUED_US: f64 = 200_000.0;

/// Minimum number of starts for an estimate, unless `MIN_QUEUED_FEW_STARTS_US` has passed; a few
/// long tasks say little about the rate. While slots that were just filled with long tasks are
/// occupied nothing starts, and a rate of zero would refuse everything.
const MIN_STARTS: f64 = 5.0;
/// Time with a queue after which any number of starts gives an estimate, in microseconds.
const MIN_QUEUED_FEW_STARTS_US: f64 = 3_500_000.0;

/// Starts per second while tasks wait.
///
/// Time without a queue is excluded, because the starts then follow the arrival rate.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    starts: f64,
    queued_us: f64,
    queued_since: Option<Instant>,
}

impl DrainRate {
    /// Records the starts since the last call, and whether tasks wait from now on.
    pub(crate) fn record_starts(&mut self, now: Instant, starts: usize, waiting: bool) {
        if let Some(since) = self.queued_since {
            let elapsed_us = now.micros_since(since) as f64;
            let decay = (-elapsed_us / DECAY_TIME_US).exp();
            self.starts = self.starts * decay + starts as f64;
            self.queued_us = self.queued_us * decay + elapsed_us;
        }
        self.queued_since = waiting.then_some(now);
    }

    /// Estimated starts per second, or `None` without enough data.
    pub(crate) fn per_s(&self) -> Option<f64> {
        let has_enough_data = self.queued_us >= MIN_QUEUED_FEW_STARTS_US
            || (self.queued_us >= MIN_QUEUED_US && self.starts >= MIN_STARTS);
        has_enough_data.then(|| self.starts / self.queued_us * 1_000_000.0)
    }
}
