//! Fakes shared by the entry's tests.

#![allow(
    clippy::expect_used,
    reason = "a test that cannot be set up must fail loudly"
)]

use {
    crate::{
        core::time::Instant,
        ports::{Counter, Gauge, Histogram, Metrics, TimerService},
    },
    tokio::sync::mpsc,
};

/// Reads Tokio's clock, which tests can pause.
#[derive(Debug)]
pub(super) struct PausedTimer(pub(super) tokio::time::Instant);

impl TimerService for PausedTimer {
    fn now(&self) -> Instant {
        let micros = self.0.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).expect("a short test"))
    }

    fn subscribe(&self, _period_ms: u64) -> mpsc::Receiver<Instant> {
        mpsc::channel(1).1
    }
}

/// Discards all metrics.
#[derive(Debug)]
pub(super) struct NoMetrics;

impl Metrics for NoMetrics {
    fn add(&self, _counter: Counter, _reason: &'static str, _amount: u64) {}

    fn observe(&self, _: Histogram, _: &'static str, _: u64) {}

    fn count_for_queue(&self, _: Counter, _: &str, _: &'static str) {}

    fn set_for_queue(&self, _: Gauge, _: &str, _: u64) {}

    fn set(&self, _gauge: Gauge, _value: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}
