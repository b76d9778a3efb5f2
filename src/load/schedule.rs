//! When jobs arrive and how long their tasks work.

use {
    crate::cli::LoadArgs,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// One job of the schedule.
#[derive(Debug)]
pub(crate) struct PlannedJob {
    /// When it is sent, in microseconds from the start.
    pub(crate) at_us: u64,
    /// How long each of its tasks works.
    pub(crate) run_ms: Vec<u32>,
}

/// Poisson arrivals: gaps between jobs are exponential, drawn from the seed.
pub(crate) fn plan(args: &LoadArgs) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut jobs = Vec::new();
    let mut at_s = 0.0;
    let end_s = args.duration_ms as f64 / 1_000.0;
    loop {
        let uniform: f64 = rng.random();
        at_s += -(1.0 - uniform).ln() / args.jobs_per_s;
        if at_s >= end_s {
            return jobs;
        }
        let run_ms = (0..args.tasks)
            .map(|_| rng.random_range(args.min_run_ms..=args.max_run_ms))
            .collect();
        jobs.push(PlannedJob {
            at_us: (at_s * 1_000_000.0) as u64,
            run_ms,
        });
    }
}
