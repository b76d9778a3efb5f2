//! A token bucket.

use crate::core::time::Instant;

/// Lets through a rate of calls, and a burst of up to one second's worth.
#[derive(Debug)]
pub(super) struct Bucket {
    per_s: u64,
    /// Tokens in millionths, so that a microsecond's worth at one call a second counts.
    micro_tokens: u64,
    filled_at: Instant,
}

/// Millionths in a token.
const TOKEN: u64 = 1_000_000;

impl Bucket {
    /// A full bucket.
    pub(super) const fn new(per_s: u64) -> Self {
        Self {
            per_s,
            micro_tokens: per_s * TOKEN,
            filled_at: Instant::from_micros(0),
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new burst.
    pub(super) fn set_rate(&mut self, now: Instant, per_s: u64) {
        self.fill(now);
        self.per_s = per_s;
        self.micro_tokens = self.micro_tokens.min(per_s * TOKEN);
    }

    /// Takes a token if more than `kept` are left.
    pub(super) fn take(&mut self, now: Instant, kept: u64) -> bool {
        self.fill(now);
        if self.micro_tokens < (kept + 1) * TOKEN {
            return false;
        }
        self.micro_tokens -= TOKEN;
        true
    }

    /// Calls a second.
    pub(super) const fn per_s(&self) -> u64 {
        self.per_s
    }

    fn fill(&mut self, now: Instant) {
        let earned = now.micros_since(self.filled_at).saturating_mul(self.per_s);
        self.filled_at = self.filled_at.max(now);
        self.micro_tokens = self
            .micro_tokens
            .saturating_add(earned)
            .min(self.per_s * TOKEN);
    }
}
