//! Seeded random numbers.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// The only source of randomness in a simulation.
#[derive(Debug)]
pub(super) struct SeededRng(ChaCha8Rng);

impl SeededRng {
    pub(super) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number from `low` to `high`, exclusive.
    pub(super) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..high.max(low + 1))
    }

    /// Returns true with a probability of `percent` in 100.
    pub(super) fn percent_chance(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }

    /// Returns an index below `count`.
    pub(super) fn index(&mut self, count: usize) -> usize {
        self.between(0, count as u64) as usize
    }
}
