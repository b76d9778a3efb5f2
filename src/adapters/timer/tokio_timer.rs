//! Monotonic clock with tokio's ticks.

use {
    crate::{core::time::Instant, ports::TimerService},
    std::time::Duration,
    tokio::{sync::mpsc, time::MissedTickBehavior},
};

/// Monotonic time since the timer was created.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokioTimer {
    origin: std::time::Instant,
}

impl TokioTimer {
    pub(crate) fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }
}

impl TimerService for TokioTimer {
    fn now(&self) -> Instant {
        let micros = self.origin.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Instant> {
        tick_every(*self, period_ms)
    }
}

/// Sends the timer's time every `period_ms` until the receiver is dropped.
pub(super) fn tick_every(
    timer: impl TimerService + 'static,
    period_ms: u64,
) -> mpsc::Receiver<Instant> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(Duration::from_millis(period_ms));
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            match sender.try_send(timer.now()) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
    });
    receiver
}
