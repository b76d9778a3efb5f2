//! Delays that differ between processes.

use {std::time::Duration, tokio::time::sleep};

/// Range of the random factor of a delay, in percent; spreads the calls of processes that started or
/// failed at the same time.
const JITTER_PERCENT: (u64, u64) = (75, 125);

/// Sleeps for a random time around `delay_ms`.
pub(crate) async fn sleep_with_jitter(delay_ms: u64) {
    let (min, max) = JITTER_PERCENT;
    let jitter = rand::random_range(min..=max);
    sleep(Duration::from_millis(delay_ms * jitter / 100)).await;
}
