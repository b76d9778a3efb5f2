//! Limit on the dials of one agent.

use crate::core::time::Instant;

/// Maximum dials of one agent over all entries, per second.
///
/// Twelve entries whose hosts refuse connections take 120; the remainder is for replacements of
/// unreachable entries.
pub(super) const MAX_DIALS_PER_S: u64 = 150;
/// Dials that may begin at the same time: all selected entries and as many replacements.
pub(super) const MAX_DIAL_BURST: u64 = 24;

const DIAL_COST_MICROS: u64 = 1_000_000 / MAX_DIALS_PER_S;

/// Token bucket for dials.
#[derive(Debug, Default)]
pub(super) struct DialBudget {
    /// When the bucket will be full again.
    full_at: Instant,
}

impl DialBudget {
    /// The earliest time at which the next dial may begin.
    pub(super) fn available_at(&self) -> Instant {
        self.full_at
            .minus_micros(DIAL_COST_MICROS * (MAX_DIAL_BURST - 1))
    }

    /// Takes the tokens of one dial; returns whether there were enough.
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        if now < self.available_at() {
            return false;
        }
        self.full_at = self.full_at.max(now).plus_micros(DIAL_COST_MICROS);
        true
    }
}
