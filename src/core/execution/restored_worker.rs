//! What an agent's earlier process knew of the worker.

use {
    super::{ExecutionAction, Executor},
    crate::core::{time::Instant, work::WorkerView},
};

/// Time for which a worker is given tasks that has not reported to this process, in milliseconds: two reports.
const RESTORED_WORKER_REPORT_TIMEOUT_MS: u64 = 3_000;

impl Executor {
    pub(super) fn persist_worker(&mut self, view: WorkerView) {
        self.actions.push(ExecutionAction::PersistWorker(view));
    }

    /// Looks at the worker that an earlier process knew, before it reports to this one.
    ///
    /// Guards against a site that stands idle after its agents were killed: their workers live on, and report
    /// only every second or two. The worker's lists show whether it is still the same life; one that
    /// has been replaced rejects the look, and its own report is waited for.
    pub(super) fn on_worker_restored(&mut self, now: Instant, view: WorkerView) {
        if self.worker.is_some() || view.service != self.settings.service {
            return;
        }
        self.start_incarnation(now, view, 0);
        if let Some(worker) = &mut self.worker {
            worker.restored_at = Some(now);
        }
    }

    /// Gives nothing more to a worker that goes on without a report.
    ///
    /// Guards against tasks for a worker that is about to end: it may have said so to the earlier process.
    pub(super) fn drain_unreported_worker(&mut self, now: Instant) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_overdue =
            |restored_at| now.millis_since(restored_at) >= RESTORED_WORKER_REPORT_TIMEOUT_MS;
        if worker.restored_at.is_some_and(is_overdue) && !worker.view.draining {
            worker.view.draining = true;
            self.announce_worker();
        }
    }
}
