//! Rate of events over the recent past.

use crate::core::time::Instant;

/// Exponentially decaying sum, from which a rate is derived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingSum {
    decay_time_ms: u64,
    sum: f64,
    updated_at: Instant,
}

impl DecayingSum {
    pub(crate) fn new(decay_time_ms: u64) -> Self {
        Self {
            decay_time_ms,
            sum: 0.0,
            updated_at: Instant::default(),
        }
    }

    pub(crate) fn sum_at(&self, now: Instant) -> f64 {
        let age_us = now.micros_since(self.updated_at) as f64;
        self.sum * (-age_us / (self.decay_time_ms as f64 * 1_000.0)).exp()
    }

    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.sum_at(now) + amount;
        self.updated_at = now;
    }

    /// The rate per millisecond.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.sum_at(now) / self.decay_time_ms as f64
    }
}
