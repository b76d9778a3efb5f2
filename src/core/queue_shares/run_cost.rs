//! How long the runs of a queue occupy their slots, in relation to the estimates.

use {super::DecayingSum, crate::core::time::Instant};

/// Time constant, in milliseconds; runs of the longest tasks end within it.
const DECAY_MS: u64 = 4_000;
/// Time in which a slot is empty before a run, in milliseconds: from the message about the end of
/// the previous run until the start order arrives.
const START_COST_MS: u64 = 4;
/// Weight of the factor one, in milliseconds of estimates, so that the first runs of a queue don't
/// decide alone.
const PRIOR_MS: f64 = 2_000.0;
/// Bounds of the factor.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 4.0);

/// Time in slots and estimates of the runs that ended recently.
///
/// Runs that fail or are stopped occupy a slot and do no work, so they increase the cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunCost {
    occupied_ms: DecayingSum,
    estimated_ms: DecayingSum,
}

impl RunCost {
    pub(super) fn new() -> Self {
        Self {
            occupied_ms: DecayingSum::new(DECAY_MS),
            estimated_ms: DecayingSum::new(DECAY_MS),
        }
    }

    pub(super) fn record(&mut self, now: Instant, ran_ms: u64, estimate_ms: u64) {
        self.occupied_ms.add(now, (ran_ms + START_COST_MS) as f64);
        self.estimated_ms.add(now, estimate_ms as f64);
    }

    /// Time in a slot per estimated time of work.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        let (lowest, highest) = FACTOR_BOUNDS;
        let occupied_ms = self.occupied_ms.sum_at(now) + PRIOR_MS;
        let estimated_ms = self.estimated_ms.sum_at(now) + PRIOR_MS;
        (occupied_ms / estimated_ms).clamp(lowest, highest)
    }
}
