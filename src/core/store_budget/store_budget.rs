//! Which calls to the platform's store may be made now.

use {
    super::token_bucket::TokenBucket,
    crate::core::{time::Instant, verdict::reasons},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Failures in a row after which calls are held back.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// First pause after that, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Longest pause, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Part of its share that an entry keeps for urgent calls: a quarter.
const URGENT_RESERVE_DIVISOR: u64 = 4;

/// What all entries together may call, a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreRates {
    /// Reads a second.
    pub(crate) reads_per_s: u64,
    /// Writes a second.
    pub(crate) writes_per_s: u64,
}

/// What a call does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Whether a call may be put off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// The roster, the head row, operators' changes. Few by nature, one at a time.
    Urgent,
    /// Clients' keys: as many as clients send.
    Bulk,
}

reasons! {
    /// Why a call is not made; nothing was sent.
    BudgetRejection {
        /// This entry's share of reads is used up.
        Reads => "over_read_budget",
        /// This entry's share of writes is used up.
        Writes => "over_write_budget",
        /// The store failed several times in a row and is left alone for a moment.
        Pausing => "pausing",
    }
}

/// Keeps an entry's calls within its share, and pauses bulk calls while the store fails.
///
/// Guards against a stampede: after an outage all entries have keys waiting, and the store, just
/// back, would get them at once and fall over again. Each entry has its share of the rate, and
/// pauses end at different times, as they are drawn at random.
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
    /// The budget of an entry that shares with `entries - 1` others.
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

    /// Takes in how many entries there are, this one included.
    pub(crate) fn set_entry_count(&mut self, now: Instant, entries: u64) {
        let (reads, writes) = (self.rates.reads_per_s, self.rates.writes_per_s);
        self.reads.set_rate(now, share(reads, entries));
        self.writes.set_rate(now, share(writes, entries));
    }

    /// Whether a call may be made now; if so, it is counted.
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

    /// Takes in how a call went.
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

/// An entry's share; at least one call a second, so that no entry is shut out.
fn share(per_s: u64, entries: u64) -> u64 {
    (per_s / entries.max(1)).max(1)
}
