//! Weighted random choice of a worker.

use {super::worker_link::WorkerKey, rand::RngExt, rand_chacha::ChaCha8Rng};

/// Chooses one of the added workers with a probability proportional to its weight.
///
/// Each gets the key `u^(1/weight)` with a random `u`, and the largest key wins (weighted sampling
/// by Efraimidis and Spirakis). The logarithm of the key has the same order and is cheaper.
#[derive(Debug)]
pub(super) struct WeightedChoice<'a> {
    rng: &'a mut ChaCha8Rng,
    best: Option<(f64, WorkerKey)>,
}

impl<'a> WeightedChoice<'a> {
    pub(super) const fn new(rng: &'a mut ChaCha8Rng) -> Self {
        Self { rng, best: None }
    }

    /// Adds a worker; its weight must be positive.
    pub(super) fn add(&mut self, worker: WorkerKey, weight: f64) {
        let key = self.rng.random::<f64>().ln() / weight;
        if self.best.is_none_or(|(best, _)| key > best) {
            self.best = Some((key, worker));
        }
    }

    pub(super) fn chosen(self) -> Option<WorkerKey> {
        self.best.map(|(_, worker)| worker)
    }
}
