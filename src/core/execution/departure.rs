//! Planned shutdown of the worker.
//!
//! The announcement that a worker leaves proves nothing about its runs: the worker executes them until
//! its process ends, and it waits for the acknowledgement first. They are stopped, so that their tasks
//! may start elsewhere as soon as the worker confirms it.

use {
    super::{
        ExecutionLogEvent, Executor, LeavingWorker, incarnations::UnconfirmedReport,
        worker_state::Departure,
    },
    crate::core::{time::Instant, work::TaskName},
};

/// Time after the announcement that the worker leaves in which reports from before it may arrive, in
/// milliseconds: the platform's timeout of a report.
const REPORT_TIMEOUT_MS: u64 = 1_000;

impl Executor {
    /// Whether runs may still execute at a worker that has announced that it leaves.
    ///
    /// The announcement is acknowledged afterwards: a worker that is gone can't confirm a stop, and its
    /// tasks would have to wait until its lease has expired.
    pub(crate) fn has_runs_at(&self, worker: &LeavingWorker) -> bool {
        let known = self.worker.as_ref();
        let is_leaving = known.is_some_and(|known| {
            worker.is_incarnation(&known.view.life) && known.departure == Departure::Leaving
        });
        is_leaving && !self.runs.is_empty()
    }

    /// Stops all runs of a leaving worker, and forgets its report if that is not confirmed yet. Ignores
    /// announcements of other incarnations, which may arrive late, and repeated ones.
    pub(super) fn on_worker_leaving(&mut self, now: Instant, leaving: &LeavingWorker) {
        let is_leaving = |report: &UnconfirmedReport| leaving.is_incarnation(&report.view.life);
        self.unconfirmed_reports
            .retain(|report| !is_leaving(report));
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !leaving.is_incarnation(&worker.view.life) {
            return;
        }
        worker.leave_received_at = Some(now);
        if worker.departure != Departure::Serving {
            return;
        }
        worker.departure = Departure::Leaving;
        worker.view.draining = true;
        self.log_event(ExecutionLogEvent::WorkerLeaving {
            worker: leaving.id.clone(),
            runs: self.runs.len(),
        });
        self.announce_worker();
        let tasks: Vec<TaskName> = self.runs.keys().copied().collect();
        for task in tasks {
            self.stop_run(now, task, "worker_left");
        }
    }

    /// Handles a report of the known incarnation that it is ready, after it was announced that it leaves.
    ///
    /// An announcement without a start time may come from another sender. A worker that reports on stays;
    /// its runs are stopped nevertheless, and once it has left, its run list comes before new starts.
    pub(super) fn reverse_departure(&mut self, now: Instant) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let may_be_late = worker
            .leave_received_at
            .is_some_and(|left_at| now.millis_since(left_at) <= REPORT_TIMEOUT_MS);
        if worker.departure == Departure::Serving || may_be_late {
            return;
        }
        worker.departure = Departure::Serving;
        let name = worker.view.life.id.clone();
        self.log_event(ExecutionLogEvent::WorkerStays { worker: name });
    }

    /// Forgets a leaving worker once none of its runs is left.
    pub(super) fn finish_departure(&mut self) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.departure != Departure::Leaving || !worker.ready || !self.runs.is_empty() {
            return;
        }
        worker.departure = Departure::Left;
        worker.ready = false;
        let event = ExecutionLogEvent::WorkerLost {
            worker: worker.view.life.id.clone(),
            cause: "left",
            runs: 0,
        };
        self.log_event(event);
        self.announce_worker();
    }
}
