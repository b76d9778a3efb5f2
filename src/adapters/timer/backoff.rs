//! Exponential backoff.

use {super::sleep_with_jitter, tokio::time::Instant};

/// Delays that double after each failure, up to a maximum.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    pub(crate) const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self {
            initial_ms,
            max_ms,
            next_ms: initial_ms,
        }
    }

    /// Returns to the initial delay after a success.
    pub(crate) const fn reset(&mut self) {
        self.next_ms = self.initial_ms;
    }

    /// Waits before the next attempt.
    pub(crate) async fn wait(&mut self) {
        self.wait_since(Instant::now()).await;
    }

    /// Waits before the next attempt, counted from an earlier time.
    pub(crate) async fn wait_since(&mut self, since: Instant) {
        let elapsed_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        sleep_with_jitter(self.next_ms.saturating_sub(elapsed_ms)).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}
