//! Detection of worker crashes, and the tasks that ran on the worker.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor,
        run::{Run, StartState},
    },
    crate::core::{
        link::AgentFrame,
        work::{TaskId, WorkerIncarnation},
    },
};

/// Polls in a row that the host must refuse before an unresponsive worker counts as crashed; only a
/// process that is gone refuses connections.
const MIN_REFUSED_POLLS: u32 = 2;

/// Tasks lost with a worker of which it is not known yet whether it crashed.
#[derive(Debug)]
pub(super) struct LostTasks {
    incarnation: WorkerIncarnation,
    tasks: Vec<TaskId>,
}

impl Executor {
    /// Tasks that the worker is known to have started.
    pub(super) fn confirmed_tasks(&self) -> Vec<TaskId> {
        let confirmed = self.confirmed_runs();
        confirmed.map(|run| run.order.run.task).collect()
    }

    fn confirmed_runs(&self) -> impl Iterator<Item = &Run> {
        let is_confirmed = |run: &Run| matches!(run.start, StartState::Confirmed { .. });
        self.runs.values().filter(move |run| is_confirmed(run))
    }

    /// Tasks that may have crashed the worker: the one that another worker has crashed under, if it
    /// runs there, otherwise all.
    fn suspected_tasks(&self) -> Vec<TaskId> {
        let suspects = self.confirmed_runs().filter(|run| run.order.is_suspect);
        let suspects: Vec<TaskId> = suspects.map(|run| run.order.run.task).collect();
        if suspects.is_empty() {
            return self.confirmed_tasks();
        }
        suspects
    }

    /// Handles the loss of an unresponsive worker.
    ///
    /// If its host refuses connections it has crashed. Otherwise it may only be unreachable; its
    /// next incarnation will tell.
    pub(super) fn record_unresponsive_worker(&mut self) {
        let tasks = self.suspected_tasks();
        let Some(worker) = &self.worker else {
            return;
        };
        if worker.view.draining {
            return;
        }
        if worker.refused_polls >= MIN_REFUSED_POLLS {
            self.report_crash(tasks);
            return;
        }
        self.lost_tasks = Some(LostTasks {
            incarnation: worker.view.life.clone(),
            tasks,
        });
    }

    /// Handles the first report of another incarnation than the known one.
    ///
    /// A worker that has announced its shutdown did not crash.
    pub(super) fn record_new_incarnation(&mut self) {
        let Some(worker) = &self.worker else {
            return;
        };
        if worker.view.draining {
            return;
        }
        let mut tasks = self.suspected_tasks();
        let is_known = |lost: &LostTasks| lost.incarnation == worker.view.life;
        if let Some(lost) = self.lost_tasks.take().filter(is_known) {
            tasks.extend(lost.tasks);
        }
        self.report_crash(tasks);
    }

    /// Reports the tasks that ran on a crashed worker to all entries, since clients may send copies
    /// of their jobs to any of them.
    fn report_crash(&mut self, tasks: Vec<TaskId>) {
        if tasks.is_empty() {
            return;
        }
        self.log_event(ExecutionLogEvent::WorkerCrashed {
            worker: self.worker_name(),
            tasks: tasks.iter().map(ToString::to_string).collect(),
        });
        for session in self.sessions.keys() {
            self.actions.push(ExecutionAction::Send {
                session: *session,
                frame: AgentFrame::Crashed {
                    tasks: tasks.clone(),
                },
            });
        }
    }
}
