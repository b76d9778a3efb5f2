//! Time, as a service that parts subscribe to.

use {crate::core::time::Instant, std::fmt::Debug, tokio::sync::mpsc};

/// The process's monotonic clock and its ticks.
pub(crate) trait TimerService: Debug + Send + Sync {
    /// The time now.
    fn now(&self) -> Instant;

    /// Ticks every `period_ms` until the receiver is dropped; a slow receiver misses ticks.
    fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Instant>;
}
