//! Use of the worker view that an earlier process of this agent persisted.

use {
    super::{ExecutionAction, Executor},
    crate::core::{time::Instant, work::WorkerView},
    std::mem,
};

/// Time within which a restored worker must report to this process, in milliseconds: two report
/// intervals.
const RESTORED_WORKER_REPORT_TIMEOUT_MS: u64 = 3_000;

impl Executor {
    /// Persists the worker's view, unless runs may execute at one that it has replaced: the agent's next
    /// process must not take the run list of the new worker for theirs.
    pub(super) fn persist_worker(&mut self, view: WorkerView) {
        if self.runs.values().any(|run| run.replaced_worker.is_some()) {
            return;
        }
        self.actions.push(ExecutionAction::PersistWorker(view));
    }

    /// Polls the worker that an earlier process knew, before it reports to this one.
    ///
    /// Workers outlive their agent and report only every second or two; without this, a restarted
    /// agent would stay idle until then. The run list shows whether the incarnation is still the
    /// same. A worker that was replaced rejects the poll and is used after its own report.
    pub(super) fn on_worker_restored(&mut self, now: Instant, view: WorkerView) {
        if self.worker.is_some() || view.service != self.settings.service {
            return;
        }
        // The worker may have reported before its stored view was read.
        let reports = mem::take(&mut self.unconfirmed_reports);
        self.start_incarnation(now, view, 0, now);
        self.unconfirmed_reports = reports;
        if let Some(worker) = &mut self.worker {
            worker.restored_at = Some(now);
        }
    }

    /// Sends no more starts to a restored worker that does not report.
    ///
    /// It may have announced its shutdown to the earlier process.
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
