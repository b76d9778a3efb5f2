//! The admission decision.

use {
    super::DrainRate,
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Fraction of a job's time before its deadline that the expected wait may take; the rest is a
/// margin for errors of the estimates. A job admitted too late runs in vain, and a far shorter queue
/// keeps the slots busy.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Maximum number of tasks that wait at one home.
const MAX_WAITING_TASKS: usize = 50_000;
/// Shortest time after which a rejected client is asked to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Longest time after which a rejected client is asked to retry, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;
/// Range of the factor applied to the retry time, so that rejected clients don't retry together.
const JITTER_FACTORS: (f64, f64) = (0.75, 1.25);

/// Input of the admission decision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionRequest {
    /// Tasks already waiting.
    pub(crate) waiting: usize,
    /// Time that the oldest of them has waited.
    pub(crate) oldest_wait_ms: u64,
    /// Number of tasks in the job.
    pub(crate) tasks: usize,
    /// Time until the job's deadline.
    pub(crate) deadline_ms: u64,
    /// Expected run time of one of its tasks.
    pub(crate) run_ms: u64,
}

/// Rejection of a job that is expected to miss its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Overload {
    /// Time after which the queue is expected to be short enough, with jitter.
    pub(crate) retry_after_ms: u64,
}

/// Admits jobs that are expected to meet their deadlines and rejects the others at once.
#[derive(Debug)]
pub(crate) struct Admission {
    drain_rate: DrainRate,
    rng: ChaCha8Rng,
}

impl Admission {
    /// Creates the admission control without data; until it has some, it only limits the queue.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            drain_rate: DrainRate::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records the starts since the last call, and whether tasks wait now.
    pub(crate) fn record_starts(&mut self, now: Instant, starts: usize, waiting: bool) {
        self.drain_rate.record_starts(now, starts, waiting);
    }

    /// Admits or rejects a job.
    pub(crate) fn decide(&mut self, request: AdmissionRequest) -> Result<(), Overload> {
        if request.waiting == 0 {
            return Ok(());
        }
        let Some(per_s) = self.drain_rate.per_s() else {
            if request.waiting <= MAX_WAITING_TASKS {
                return Ok(());
            }
            return Err(self.overload(MIN_RETRY_AFTER_MS));
        };
        let queued_tasks = (request.waiting + request.tasks) as f64;
        // A rate that predicts less than the wait so far is out of date.
        let expected_wait_ms = (queued_tasks / per_s * 1_000.0).max(request.oldest_wait_ms as f64);
        let max_wait_ms =
            request.deadline_ms.saturating_sub(request.run_ms) as f64 * MAX_WAIT_FRACTION;
        if expected_wait_ms <= max_wait_ms && request.waiting <= MAX_WAITING_TASKS {
            return Ok(());
        }
        Err(self.overload(expected_wait_ms - max_wait_ms))
    }

    fn overload(&mut self, excess_ms: f64) -> Overload {
        let base_ms = excess_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let jitter = self.rng.random_range(JITTER_FACTORS.0..JITTER_FACTORS.1);
        Overload {
            retry_after_ms: (base_ms * jitter) as u64,
        }
    }
}
