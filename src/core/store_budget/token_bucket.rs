//! A token bucket.

use crate::core::time::Instant;

/// Limits calls to a rate, with bursts of up to one second's worth.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_s: u64,
    /// In millionths of a token; at one call per second, one accrues per microsecond.
    micro_tokens: u64,
    refilled_at: Instant,
}

const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) const fn new(per_s: u64) -> Self {
        Self {
            per_s,
            micro_tokens: per_s * MICRO_TOKENS_PER_TOKEN,
            refilled_at: Instant::from_micros(0),
        }
    }

    /// Changes the rate; existing tokens stay, up to the new burst size.
    pub(super) fn set_rate(&mut self, now: Instant, per_s: u64) {
        self.refill(now);
        self.per_s = per_s;
        self.micro_tokens = self.micro_tokens.min(per_s * MICRO_TOKENS_PER_TOKEN);
    }

    /// Takes a token if at least `reserved` whole tokens remain afterwards.
    pub(super) fn try_take(&mut self, now: Instant, reserved: u64) -> bool {
        self.refill(now);
        if self.micro_tokens < (reserved + 1) * MICRO_TOKENS_PER_TOKEN {
            return false;
        }
        self.micro_tokens -= MICRO_TOKENS_PER_TOKEN;
        true
    }

    /// Calls per second.
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
