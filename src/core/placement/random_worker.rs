//! A random placement policy, as a baseline for measurements.

use {
    super::{Placement, RunnerView},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Chooses any runner, regardless of its load.
#[derive(Debug)]
pub(crate) struct RandomWorker {
    rng: ChaCha8Rng,
}

impl RandomWorker {
    /// Creates the policy with this random seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Placement for RandomWorker {
    fn choose(&mut self, _now: Instant, views: &[RunnerView]) -> Option<usize> {
        if views.is_empty() {
            return None;
        }
        Some(self.rng.random_range(0..views.len()))
    }
}
