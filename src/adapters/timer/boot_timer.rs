//! A clock that goes on while the host is suspended.

use {
    super::tokio_timer::tick_every,
    crate::{core::time::Instant, ports::TimerService},
    rustix::time::{ClockId, clock_gettime},
    tokio::sync::mpsc,
};

/// Time since the host was started, its suspensions included.
///
/// Guards against rights that outlive a suspension: a clock that stands still meanwhile would let a
/// process start a task when it wakes, although others took its rights as lapsed long ago.
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
