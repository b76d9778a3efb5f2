//! How fast work comes.

use crate::core::time::Instant;

/// Tasks that were handed in of late.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    faded_tasks: f64,
    noted_at: Instant,
}

impl ArrivalRate {
    /// Time over which arrivals fade, in milliseconds: long enough for some hundred tasks at the smallest
    /// site's share of an entry, short enough to see a burst of four seconds begin and end.
    pub(super) const MEMORY_MS: u64 = 1_000;

    /// Notes tasks of a job that was taken in.
    pub(super) fn note(&mut self, now: Instant, tasks: usize) {
        self.faded_tasks = self.faded_tasks * self.fading(now) + tasks as f64;
        self.noted_at = now;
    }

    /// Tasks a second.
    pub(super) fn per_s(&self, now: Instant) -> f64 {
        self.faded_tasks * self.fading(now) * 1_000.0 / Self::MEMORY_MS as f64
    }

    fn fading(&self, now: Instant) -> f64 {
        (-(now.micros_since(self.noted_at) as f64) / (Self::MEMORY_MS as f64 * 1_000.0)).exp()
    }
}
