//! Clock and periodic ticks.

use {crate::core::time::Instant, std::fmt::Debug, tokio::sync::mpsc};

/// The process's monotonic clock.
pub(crate) trait TimerService: Debug + Send + Sync {
    fn now(&self) -> Instant;

    /// Sends the time every `period_ms` until the receiver is dropped; a slow receiver misses ticks.
    fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Instant>;
}
