//! Clock that includes the time while the host is suspended.

use {
    super::tokio_timer::tick_every,
    crate::{core::time::Instant, ports::TimerService},
    rustix::time::{ClockId, clock_gettime},
    tokio::sync::mpsc,
};

/// Time since boot, including suspensions.
///
/// With a clock that stops during a suspension, a process could start a task under a lease that other
/// processes already regard as expired.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BootTimer;

impl TimerService for BootTimer {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Instant::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }

    fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Instant> {
        tick_every(*self, period_ms)
    }
}
