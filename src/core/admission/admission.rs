//! The admission decision.

use {
    super::DrainRate,
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Share of the time a job can wait that its expected wait may take.
///
/// What is admitted late is run for nothing: the rest is room for waits and run times that turn
/// out longer than learnt. Slots stay busy with a far shorter queue.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Most tasks that wait at one home.
const MAX_WAITING_TASKS: usize = 50_000;
/// Shortest time after which a refused client is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Longest time after which a refused client is asked to come back, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;
/// The time to come back is drawn from this much around the reckoned one, so that refused clients
/// don't come back together.
const JITTER_FACTORS: (f64, f64) = (0.75, 1.25);

/// A job as admission sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionRequest {
    /// Tasks that wait already.
    pub(crate) waiting: usize,
    /// For how long the oldest of them has waited.
    pub(crate) oldest_wait_ms: u64,
    /// Tasks of the job.
    pub(crate) tasks: usize,
    /// Time until its deadline.
    pub(crate) deadline_ms: u64,
    /// Time that one of its tasks is expected to run.
    pub(crate) run_ms: u64,
}

/// A refusal: the job would not be done in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Overload {
    /// When the queue is expected to be short enough, jittered.
    pub(crate) retry_after_ms: u64,
}

/// Takes in jobs that can be done in time, refuses the others at once.
#[derive(Debug)]
pub(crate) struct Admission {
    drain_rate: DrainRate,
    rng: ChaCha8Rng,
}

impl Admission {
    /// Knows nothing yet and so admits everything; draws from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            drain_rate: DrainRate::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Notes what was started since the last note, and whether tasks wait now.
    pub(crate) fn record_starts(&mut self, now: Instant, starts: usize, waiting: bool) {
        self.drain_rate.record_starts(now, starts, waiting);
    }

    /// Decides on a job.
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
        // Those in front have waited already: a rate that looks better is out of date.
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
