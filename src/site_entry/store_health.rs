//! Logs when calls of one kind to the store begin to fail and when they succeed again.

use {
    super::process_log_event::ProcessLogEvent,
    crate::{
        adapters::timer::Backoff,
        ports::{Counter, DecisionLog, LogPriority, Metrics, StoreError, log_decision},
    },
    std::{mem, sync::Arc, time::Instant},
};

/// Backoff after failed calls, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 400;

/// Availability of the store for one kind of call.
#[derive(Debug)]
pub(super) struct StoreHealth {
    call: &'static str,
    decisions: Arc<dyn DecisionLog>,
    metrics: Arc<dyn Metrics>,
    unavailable_since: Option<Instant>,
    /// Failed calls since then.
    failed_calls: u64,
    backoff: Backoff,
}

impl StoreHealth {
    /// Creates the state of one kind of call; `call` is its name in logs.
    pub(super) fn new(
        call: &'static str,
        decisions: &Arc<dyn DecisionLog>,
        metrics: &Arc<dyn Metrics>,
    ) -> Self {
        Self {
            call,
            decisions: Arc::clone(decisions),
            metrics: Arc::clone(metrics),
            unavailable_since: None,
            failed_calls: 0,
            backoff: Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS),
        }
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self) {
        self.metrics.count(Counter::StoreCalls, "answered");
        self.backoff.reset();
        if let Some(unavailable_since) = self.unavailable_since.take() {
            let away_ms =
                u64::try_from(unavailable_since.elapsed().as_millis()).unwrap_or(u64::MAX);
            let event = ProcessLogEvent::StoreRegained {
                call: self.call,
                away_ms,
                failed_calls: mem::take(&mut self.failed_calls),
            };
            log_decision(&*self.decisions, LogPriority::Notable, &event);
        }
    }

    /// Records a failed call, and waits before the next one.
    pub(super) async fn record_failure(&mut self, error: &StoreError) {
        self.metrics.count(Counter::StoreCalls, error.as_str());
        self.failed_calls += 1;
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(Instant::now());
            let event = ProcessLogEvent::StoreLost {
                call: self.call,
                cause: error.to_string(),
            };
            log_decision(&*self.decisions, LogPriority::Notable, &event);
        }
        self.backoff.wait().await;
    }
}
