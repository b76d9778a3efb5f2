//! Token bucket of a queue.

use crate::core::time::Instant;

/// Time in which an empty bucket fills, in milliseconds.
const FILL_TIME_MS: f64 = 500.0;
/// Maximum time until an overdrawn bucket is full, in milliseconds; when the demand of a queue
/// falls, the debt of earlier jobs would otherwise last for a long time.
const MAX_REFILL_MS: f64 = 5_000.0;

/// A bucket of tokens for work; one token is a millisecond of one core.
///
/// It stores what is missing to a full bucket, so that a full bucket stays full when its size
/// changes.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueBucket {
    /// Tokens per millisecond.
    rate: f64,
    /// Tokens taken and not refilled yet; above `size()` the bucket is overdrawn.
    missing: f64,
    filled_at: Instant,
}

impl QueueBucket {
    /// A full bucket.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            missing: 0.0,
            filled_at: now,
        }
    }

    fn size(&self) -> f64 {
        self.rate * FILL_TIME_MS
    }

    fn fill(&mut self, now: Instant) {
        let age_ms = now.micros_since(self.filled_at) as f64 / 1_000.0;
        self.missing = (self.missing - self.rate * age_ms).max(0.0);
        self.filled_at = now;
    }

    pub(super) fn set_rate(&mut self, now: Instant, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.missing = self.missing.min(rate * MAX_REFILL_MS);
    }

    /// Forgives what the bucket owes: it is empty then, but not overdrawn.
    pub(super) fn forgive_debt(&mut self) {
        self.missing = self.missing.min(self.size());
    }

    /// Takes the tokens for a job's work; returns whether the job is within the share of its queue.
    ///
    /// Any token left admits a job, and its remaining tokens are owed: otherwise large jobs would
    /// be refused more often than small ones, and a queue with a light demand could start none. A
    /// full bucket admits one job of any size. With `may_overdraw`, another bucket may be owed.
    pub(super) fn take(&mut self, now: Instant, work: f64, may_overdraw: bool) -> bool {
        self.fill(now);
        let limit = self.size() * if may_overdraw { 2.0 } else { 1.0 };
        let is_granted = self.missing <= 0.0 || self.missing < limit;
        if is_granted {
            self.missing += work;
        }
        is_granted
    }

    /// Takes tokens for a job that is admitted in any case, but doesn't overdraw the bucket.
    /// Returns the number of tokens taken.
    pub(super) fn drain(&mut self, now: Instant, work: f64) -> f64 {
        self.fill(now);
        let taken = work.min(self.size() - self.missing).max(0.0);
        self.missing += taken;
        taken
    }

    /// Returns the tokens of a job that was not run.
    pub(super) fn refund(&mut self, tokens: f64) {
        self.missing = (self.missing - tokens).max(0.0);
    }
}
