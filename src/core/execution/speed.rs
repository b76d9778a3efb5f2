//! Measurement of the worker's speed.

use {
    super::{Executor, run::Run},
    crate::core::{link::RunOutcome, time::Instant},
};

impl Executor {
    /// The worker's slowness in thousandths, as reported to entries.
    pub(crate) const fn slowness_permille(&self) -> u16 {
        self.speed.slowness_permille()
    }

    /// Records the run time of a run that was done. Others end early, or late for reasons of their
    /// own.
    pub(super) fn record_speed(&mut self, now: Instant, run: &Run, end: RunOutcome) {
        if end == RunOutcome::Done {
            self.speed
                .record_done(now, run.ran_ms(now), run.order.estimate_ms);
        }
    }

    pub(super) fn measure_speed(&mut self, now: Instant) {
        if !self.speed.is_due(now) {
            return;
        }
        // The end of a run that is being stopped may have been reported late.
        let running = self.runs.values().filter(|run| run.stop.is_none());
        let times = running.map(|run| (run.ran_ms(now), run.order.estimate_ms));
        self.speed.measure(now, times);
    }
}
