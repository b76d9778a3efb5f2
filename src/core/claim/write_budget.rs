//! Rate limit for an entry's claim writes.

use crate::core::time::Instant;

const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket that holds up to 100 ms worth of writes, but at least one.
#[derive(Debug)]
pub(crate) struct WriteBudget {
    interval_micros: u64,
    burst_micros: u64,
    /// Time from which the next write is allowed; a time in the past is unused burst.
    next_at: Instant,
}

impl WriteBudget {
    /// Creates a budget of `writes_per_s` writes per second.
    pub(crate) fn new(writes_per_s: u32) -> Self {
        Self {
            interval_micros: MICROS_PER_S / u64::from(writes_per_s.max(1)),
            burst_micros: MICROS_PER_S / 10,
            next_at: Instant::default(),
        }
    }

    /// Consumes one write from the budget, if one is available.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        if self.next_at.micros_since(now) > 0 {
            return false;
        }
        let earliest = now.minus_micros(self.burst_micros);
        self.next_at = self.next_at.max(earliest).plus_micros(self.interval_micros);
        true
    }
}
