//! Rate limits and backoff for calls to the platform's store.

use {
    super::token_bucket::TokenBucket,
    crate::core::{time::Instant, verdict::reasons},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Consecutive failures after which calls back off.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// First backoff, in milliseconds; doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// A bucket's rate divided by this is the number of tokens reserved for urgent calls.
const URGENT_RESERVE_DIVISOR: u64 = 4;

/// Call rates allowed for all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreRates {
    /// Reads per second.
    pub(crate) reads_per_s: u64,
    /// Writes per second.
    pub(crate) writes_per_s: u64,
}

/// Whether a call reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Whether a call may be delayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// The roster, the head row and operators' changes: few calls, one at a time.
    Urgent,
    /// Clients' idempotency keys: as many calls as clients cause.
    Bulk,
}

reasons! {
    /// Why a call was rejected before it was sent.
    BudgetRejection {
        /// This entry's share of reads is used up.
        Reads => "over_read_budget",
        /// This entry's share of writes is used up.
        Writes => "over_write_budget",
        /// The store failed several times in a row, and calls back off.
        Pausing => "pausing",
    }
}

/// Limits an entry's calls to its share of the rates; bulk calls back off while the store fails.
///
/// Rate limits and randomized backoff prevent a thundering herd of waiting calls when the store is
/// available again after an outage.
#[derive(Debug)]
pub(crate) struct StoreBudget {
    rates: StoreRates,
    reads: TokenBucket,
    writes: TokenBucket,
    failures: u32,
    backoff_until: Instant,
    rng: ChaCha8Rng,
}

impl StoreBudget {
    /// Creates the budget of one of `entries` entries.
    pub(crate) fn new(rates: StoreRates, entries: u64, seed: u64) -> Self {
        Self {
            rates,
            reads: TokenBucket::new(share(rates.reads_per_s, entries)),
            writes: TokenBucket::new(share(rates.writes_per_s, entries)),
            failures: 0,
            backoff_until: Instant::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the number of entries, including this one.
    pub(crate) fn set_entry_count(&mut self, now: Instant, entries: u64) {
        let (reads, writes) = (self.rates.reads_per_s, self.rates.writes_per_s);
        self.reads.set_rate(now, share(reads, entries));
        self.writes.set_rate(now, share(writes, entries));
    }

    /// Checks whether a call may be made now, and counts it if so.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        kind: CallKind,
        urgency: Urgency,
    ) -> Result<(), BudgetRejection> {
        if urgency == Urgency::Bulk && now < self.backoff_until {
            return Err(BudgetRejection::Pausing);
        }
        let (bucket, rejection) = match kind {
            CallKind::Read => (&mut self.reads, BudgetRejection::Reads),
            CallKind::Write => (&mut self.writes, BudgetRejection::Writes),
        };
        let reserved = match urgency {
            Urgency::Urgent => 0,
            Urgency::Bulk => bucket.per_s() / URGENT_RESERVE_DIVISOR,
        };
        if bucket.try_take(now, reserved) {
            Ok(())
        } else {
            Err(rejection)
        }
    }

    /// Records whether a call succeeded.
    pub(crate) fn record_result(&mut self, now: Instant, succeeded: bool) {
        if succeeded {
            self.failures = 0;
            self.backoff_until = self.backoff_until.min(now);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_BEFORE_BACKOFF {
            return;
        }
        let doublings = (self.failures - FAILURES_BEFORE_BACKOFF).min(u64::BITS / 4);
        let max_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        let backoff_ms = self.rng.random_range(max_ms / 2..=max_ms);
        self.backoff_until = now.plus_ms(backoff_ms);
    }
}

/// An entry's share, at least one call per second.
fn share(per_s: u64, entries: u64) -> u64 {
    (per_s / entries.max(1)).max(1)
}
