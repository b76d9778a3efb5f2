//! Pauses between tries at something that is away.

use {std::time::Duration, tokio::time::sleep};

/// Least and most of a pause, in hundredths: processes that lost something together don't return together.
const JITTER_PERCENT: (u64, u64) = (75, 125);

/// Pauses that double from the first to the last until a try succeeds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Begins with the first pause.
    pub(crate) const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self {
            initial_ms,
            max_ms,
            next_ms: initial_ms,
        }
    }

    /// Notes that a try has succeeded.
    pub(crate) const fn reset(&mut self) {
        self.next_ms = self.initial_ms;
    }

    /// Waits before the next try.
    pub(crate) async fn wait(&mut self) {
        let (min, max) = JITTER_PERCENT;
        let jitter = rand::random_range(min..=max);
        sleep(Duration::from_millis(self.next_ms * jitter / 100)).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}
