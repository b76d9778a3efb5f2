//! How fast a home's queue drains.

use crate::core::time::Instant;

/// Time over which the rate is learnt, in microseconds: older starts fade.
const DECAY_TIME_US: f64 = 4_000_000.0;
/// Time with a queue before the rate says anything, in microseconds.
const MIN_QUEUED_US: f64 = 200_000.0;

/// Starts before the rate says anything, unless there were few in a long time.
///
/// Guards against refusing everything when slots have just been filled with long tasks: for as
/// long as these run nothing starts, and the rate looks like zero.
const MIN_STARTS: f64 = 5.0;
/// Time with a queue after which few starts do say something, in microseconds.
const MIN_QUEUED_FEW_STARTS_US: f64 = 3_500_000.0;

/// Starts for each second in which tasks waited.
///
/// Time without a queue doesn't count: what starts then says how fast work comes, not how fast it
/// could go.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    starts: f64,
    queued_us: f64,
    queued_since: Option<Instant>,
}

impl DrainRate {
    /// Notes whether tasks wait from now on, and how many were started since the last note.
    pub(crate) fn record_starts(&mut self, now: Instant, starts: usize, waiting: bool) {
        if let Some(since) = self.queued_since {
            let elapsed_us = now.micros_since(since) as f64;
            let decay = (-elapsed_us / DECAY_TIME_US).exp();
            self.starts = self.starts * decay + starts as f64;
            self.queued_us = self.queued_us * decay + elapsed_us;
        }
        self.queued_since = waiting.then_some(now);
    }

    /// Starts a second, once there has been a queue for long enough to tell.
    pub(crate) fn per_s(&self) -> Option<f64> {
        let has_enough_data = self.queued_us >= MIN_QUEUED_FEW_STARTS_US
            || (self.queued_us >= MIN_QUEUED_US && self.starts >= MIN_STARTS);
        has_enough_data.then(|| self.starts / self.queued_us * 1_000_000.0)
    }
}
