//! Places each task where most slots are free.

use {
    super::{Placement, RunnerView},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Takes the runner with most free slots, ties broken at random so that homes don't agree on one.
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

impl Placement for MostFree {
    fn choose(&mut self, _now: Instant, views: &[RunnerView]) -> Option<usize> {
        let best = views.iter().map(|view| view.free_slots).max()?;
        if best == 0 {
            return None;
        }
        let ties = views.iter().filter(|view| view.free_slots == best).count();
        let pick = self.rng.random_range(0..ties);
        views
            .iter()
            .enumerate()
            .filter(|(_, view)| view.free_slots == best)
            .nth(pick)
            .map(|(position, _)| position)
    }
}
