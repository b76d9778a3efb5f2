//! Places each task on the runner with the most free slots.

use {
    super::{Placement, RunnerView},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Chooses the runner with the most free slots; breaks ties at random to spread homes over runners.
///
/// Own runners are preferred: their free slots are known best, and other homes use them last.
#[derive(Debug)]
pub(crate) struct MostFree {
    rng: ChaCha8Rng,
}

impl MostFree {
    /// Creates the policy with this random seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// Sort key; the greatest is chosen.
const fn preference(view: &RunnerView) -> (bool, u16) {
    (view.own, view.free_slots)
}

impl Placement for MostFree {
    fn choose(&mut self, _now: Instant, views: &[RunnerView]) -> Option<usize> {
        let free = || views.iter().enumerate().filter(|(_, v)| v.free_slots > 0);
        let best = free().map(|(_, view)| preference(view)).max()?;
        let ties = free().filter(|(_, view)| preference(view) == best).count();
        let pick = self.rng.random_range(0..ties);
        free()
            .filter(|(_, view)| preference(view) == best)
            .nth(pick)
            .map(|(position, _)| position)
    }
}
