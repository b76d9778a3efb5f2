//! Tells when calls of one kind to the store begin to fail and when they work again.

use {
    super::process_log_event::ProcessLogEvent,
    crate::{
        adapters::timer::Backoff,
        ports::{Counter, DecisionLog, LogPriority, Metrics, StoreError, log_decision},
    },
    std::{sync::Arc, time::Instant},
};

/// Pauses after calls that failed, in milliseconds; the first is doubled up to the last.
///
/// Eight entries that lost the store together make some 20 calls a second on its return, of the 800 or more that it takes.
const FIRST_PAUSE_MS: u64 = 50;
const LAST_PAUSE_MS: u64 = 400;

/// A dependency that may be away.
#[derive(Debug)]
pub(super) struct StoreWatch {
    call: &'static str,
    decisions: Arc<dyn DecisionLog>,
    metrics: Arc<dyn Metrics>,
    lost_at: Option<Instant>,
    backoff: Backoff,
}

impl StoreWatch {
    /// Watches calls that logs name so.
    pub(super) fn new(
        call: &'static str,
        decisions: &Arc<dyn DecisionLog>,
        metrics: &Arc<dyn Metrics>,
    ) -> Self {
        Self {
            call,
            decisions: Arc::clone(decisions),
            metrics: Arc::clone(metrics),
            lost_at: None,
            backoff: Backoff::new(FIRST_PAUSE_MS, LAST_PAUSE_MS),
        }
    }

    /// Notes a call that was answered.
    pub(super) fn regained(&mut self) {
        self.metrics.count(Counter::StoreCalls, "answered");
        self.backoff.reset();
        if let Some(lost_at) = self.lost_at.take() {
            let away_ms = u64::try_from(lost_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let call = self.call;
            let regained = ProcessLogEvent::StoreRegained { call, away_ms };
            log_decision(&*self.decisions, LogPriority::Notable, &regained);
        }
    }

    /// Notes a call that failed, and waits before the next one.
    pub(super) async fn lost(&mut self, error: &StoreError) {
        let outcome = match error {
            StoreError::Unavailable(_) => "unavailable",
            StoreError::OutcomeUnknown(_) => "outcome_unknown",
        };
        self.metrics.count(Counter::StoreCalls, outcome);
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            let lost = ProcessLogEvent::StoreLost {
                call: self.call,
                cause: error.to_string(),
            };
            log_decision(&*self.decisions, LogPriority::Notable, &lost);
        }
        self.backoff.wait().await;
    }
}
