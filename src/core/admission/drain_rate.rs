//! How fast a home's queue drains.

use crate::core::time::Instant;

/// Time over which the rate is learnt, in microseconds: older starts fade.
const MEMORY_US: f64 = 4_000_000.0;
/// Time with a queue before the rate says anything, in microseconds.
const LEAST_US: f64 = 200_000.0;

/// Starts before the rate says anything, unless there were few in a long time.
///
/// Guards against refusing everything when slots have just been filled with long tasks: for as
/// long as these run nothing starts, and the rate looks like zero.
const LEAST_STARTS: f64 = 5.0;
/// Time with a queue after which few starts do say something, in microseconds.
const LONG_US: f64 = 3_500_000.0;

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
            let passed_us = now.micros_since(since) as f64;
            let faded = (-passed_us / MEMORY_US).exp();
            self.starts = self.starts * faded + starts as f64;
            self.queued_us = self.queued_us * faded + passed_us;
        }
        self.queued_since = waiting.then_some(now);
    }

    /// Starts a second, once there has been a queue for long enough to tell.
    pub(crate) fn per_s(&self) -> Option<f64> {
        let is_known = self.queued_us >= LONG_US
            || (self.queued_us >= LEAST_US && self.starts >= LEAST_STARTS);
        is_known.then(|| self.starts / self.queued_us * 1_000_000.0)
    }
}
