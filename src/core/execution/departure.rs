//! Planned shutdown of the worker.
//!
//! The announcement that a worker leaves proves nothing about its runs: the worker executes them until
//! its process ends, and it waits for the acknowledgement first. They are stopped, so that their tasks
//! may start elsewhere as soon as the worker confirms it.

use {
    super::{ExecutionLogEvent, Executor, LeavingWorker, worker_state::Departure},
    crate::core::{time::Instant, work::TaskId},
};

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

    /// Stops all runs of a leaving worker. Ignores announcements of other incarnations, which may
    /// arrive late, and repeated ones.
    pub(super) fn on_worker_leaving(&mut self, now: Instant, leaving: &LeavingWorker) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !leaving.is_incarnation(&worker.view.life) || worker.departure != Departure::Serving {
            return;
        }
        worker.departure = Departure::Leaving;
        worker.view.draining = true;
        self.log_event(ExecutionLogEvent::WorkerLeaving {
            worker: leaving.id.clone(),
            runs: self.runs.len(),
        });
        self.announce_worker();
        let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
        for task in tasks {
            self.stop_run(now, task, "worker_left");
        }
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
