//! A draw among workers by weight.

use {super::worker_link::WorkerKey, rand::RngExt, rand_chacha::ChaCha8Rng};

/// Draws one of the workers that are offered, each with a probability in proportion to its weight.
///
/// Each is given the key `u^(1/weight)` with a random `u`, and the highest key wins (weighted
/// sampling by Efraimidis and Spirakis); its logarithm orders alike and costs less.
#[derive(Debug)]
pub(super) struct WeightedChoice<'a> {
    rng: &'a mut ChaCha8Rng,
    best: Option<(f64, WorkerKey)>,
}

impl<'a> WeightedChoice<'a> {
    pub(super) const fn new(rng: &'a mut ChaCha8Rng) -> Self {
        Self { rng, best: None }
    }

    /// Takes a worker into the draw; its weight is above zero.
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
