//! Fake implementations of the ports.

use {
    crate::ports::{Counter, DecisionLog, Gauge, Histogram, LogPriority, Metrics},
    serde_json::Value,
};

/// Discards all metrics.
#[derive(Debug)]
pub(super) struct NoopMetrics;

impl Metrics for NoopMetrics {
    fn add(&self, _: Counter, _: &'static str, _: u64) {}

    fn count_for_queue(&self, _: Counter, _: &str, _: &'static str) {}

    fn set_for_queue(&self, _: Gauge, _: &str, _: u64) {}

    fn set(&self, _: Gauge, _: u64) {}

    fn observe(&self, _: Histogram, _: &'static str, _: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}

/// Discards all log lines.
#[derive(Debug)]
pub(super) struct NoopDecisionLog;

impl DecisionLog for NoopDecisionLog {
    fn write(&self, _: LogPriority, _: Value) {}
}
