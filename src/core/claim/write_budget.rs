//! How many writes a second an entry may make for claims.

use crate::core::time::Instant;

const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket with room for a tenth of a second's writes, one at least.
#[derive(Debug)]
pub(crate) struct WriteBudget {
    interval_micros: u64,
    burst_micros: u64,
    /// When the next write would be due if none had been saved up.
    next_at: Instant,
}

impl WriteBudget {
    /// A budget of so many writes a second.
    pub(crate) fn new(writes_per_s: u32) -> Self {
        Self {
            interval_micros: MICROS_PER_S / u64::from(writes_per_s.max(1)),
            burst_micros: MICROS_PER_S / 10,
            next_at: Instant::default(),
        }
    }

    /// Takes one write out of the budget, if there is one.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        if self.next_at.micros_since(now) > 0 {
            return false;
        }
        let earliest = now.minus_micros(self.burst_micros);
        self.next_at = self.next_at.max(earliest).plus_micros(self.interval_micros);
        true
    }
}
