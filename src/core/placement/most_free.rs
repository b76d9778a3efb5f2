//! Places each task where most slots are free.

use {
    super::{Placement, RunnerView},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Takes the runner with most free slots, ties broken at random so that homes don't agree on one.
///
/// Own runners come first: what is free there is known best, and other homes look there last.
#[derive(Debug)]
pub(crate) struct MostFree {
    rng: ChaCha8Rng,
}

impl MostFree {
    /// A policy that draws from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// Greater is better.
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
