//! A token bucket.

use crate::core::time::Instant;

/// Lets through a rate of calls, and a burst of up to one second's worth.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_s: u64,
    /// Tokens in millionths, so that a microsecond's worth at one call a second counts.
    micro_tokens: u64,
    refilled_at: Instant,
}

/// Millionths in a token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

impl TokenBucket {
    /// A full bucket.
    pub(super) const fn new(per_s: u64) -> Self {
        Self {
            per_s,
            micro_tokens: per_s * MICRO_TOKENS_PER_TOKEN,
            refilled_at: Instant::from_micros(0),
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new burst.
    pub(super) fn set_rate(&mut self, now: Instant, per_s: u64) {
        self.refill(now);
        self.per_s = per_s;
        self.micro_tokens = self.micro_tokens.min(per_s * MICRO_TOKENS_PER_TOKEN);
    }

    /// Takes a token if more than `reserved` are left.
    pub(super) fn try_take(&mut self, now: Instant, reserved: u64) -> bool {
        self.refill(now);
        if self.micro_tokens < (reserved + 1) * MICRO_TOKENS_PER_TOKEN {
            return false;
        }
        self.micro_tokens -= MICRO_TOKENS_PER_TOKEN;
        true
    }

    /// Calls a second.
    pub(super) const fn per_s(&self) -> u64 {
        self.per_s
    }

    fn refill(&mut self, now: Instant) {
        let earned = now
            .micros_since(self.refilled_at)
            .saturating_mul(self.per_s);
        self.refilled_at = self.refilled_at.max(now);
        self.micro_tokens = self
            .micro_tokens
            .saturating_add(earned)
            .min(self.per_s * MICRO_TOKENS_PER_TOKEN);
    }
}
