//! Capacity that the runs of each entry occupy.

use {
    super::{Executor, SessionId, run::Run},
    crate::core::{queue_shares::DecayingSum, time::Instant},
};

/// Time constant of the use, in milliseconds; covers several runs of most tasks.
const DECAY_MS: u64 = 1_000;

/// Capacity that the runs of one entry have occupied recently, in milliseconds of a thousandth of a
/// core.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityUse(DecayingSum);

impl CapacityUse {
    pub(super) fn new() -> Self {
        Self(DecayingSum::new(DECAY_MS))
    }

    fn record(&mut self, now: Instant, run: &Run, span_ms: f64) {
        self.0.add(now, cpu_milli(run) * span_ms);
    }
}

impl Executor {
    /// Adds the time since the last event to the use of the entries whose runs executed in it.
    pub(super) fn record_capacity_use(&mut self, now: Instant) {
        let span_us = now.micros_since(self.use_recorded_at);
        self.use_recorded_at = now;
        let span_ms = span_us as f64 / 1_000.0;
        for run in self.runs.values() {
            if let Some(link) = self.sessions.get_mut(&run.session) {
                link.capacity_use.record(now, run, span_ms);
            }
        }
    }

    /// Capacity that an entry's runs have occupied recently and will occupy until they end as
    /// estimated, in milliseconds of a thousandth of a core.
    pub(super) fn capacity_use(&self, now: Instant, session: SessionId) -> u64 {
        let link = self.sessions.get(&session);
        let recent = link.map_or(0.0, |link| link.capacity_use.0.sum_at(now));
        let runs = self.runs.values().filter(|run| run.session == session);
        let expected = runs.map(|run| {
            let left_ms = run.order.estimate_ms.saturating_sub(run.ran_ms(now));
            cpu_milli(run) * left_ms as f64
        });
        (recent + expected.sum::<f64>()) as u64
    }
}

/// The CPU that a run needs, in thousandths of a core; at least one, so that the use of tasks without
/// such needs is compared by their time.
fn cpu_milli(run: &Run) -> f64 {
    f64::from(run.order.needs.cpu_milli.max(1))
}
