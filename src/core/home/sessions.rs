//! The home's sessions with runners and the tasks outstanding on them.

use {
    super::{Home, HomeAction, runner_link::LinkState, ticket_registry::TicketState},
    crate::core::{
        job::{TaskOutcome, TaskRef},
        message::{FreeSlots, HomeFrame, RunnerFrame, StatusReport, TaskStatus},
        ticket::AgentId,
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason},
    },
};

impl Home {
    pub(super) fn on_frame(
        &mut self,
        now: Instant,
        runner: AgentId,
        epoch: u64,
        frame: RunnerFrame,
    ) {
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        if link.epoch != epoch {
            return;
        }
        match frame {
            RunnerFrame::Welcome {
                runner: actual,
                free,
            } => self.on_welcome(now, runner, actual, free),
            RunnerFrame::Outcome {
                task,
                outcome,
                free,
            } => {
                link.report_free(now, free);
                self.on_outcome(now, runner, task, outcome);
            }
            RunnerFrame::Offer { free } => link.apply_offer(now, free),
            RunnerFrame::Statuses { tasks } => {
                for report in tasks {
                    self.on_status(now, runner, report);
                }
            }
        }
    }

    fn on_welcome(&mut self, now: Instant, runner: AgentId, actual: AgentId, free: FreeSlots) {
        if runner != actual {
            self.remove_runner(now, runner);
            return;
        }
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        link.state = LinkState::Open;
        link.disconnected_since = None;
        link.report_free(now, free);
        if link.outstanding.is_empty() {
            return;
        }
        let tasks = link.outstanding.iter().map(|(t, e)| (*t, *e)).collect();
        self.actions.push(HomeAction::Send {
            runner,
            epoch: link.epoch,
            frame: HomeFrame::Query { tasks },
        });
    }

    /// Applies the status of a start that the home queried.
    ///
    /// The refusal of that start may have arrived earlier and the task may have been started again.
    /// Only starts of earlier sessions are queried, so the epoch in the report tells which start it
    /// means.
    fn on_status(&mut self, now: Instant, runner: AgentId, report: StatusReport) {
        let outstanding = self
            .links
            .get(&runner)
            .and_then(|link| link.outstanding.get(&report.task));
        if outstanding != Some(&report.epoch) {
            return;
        }
        let outcome = match report.status {
            TaskStatus::Running => return,
            TaskStatus::Ended(outcome) => outcome,
            TaskStatus::NeverStarted => TaskOutcome::NotRun {
                reason: NotRunReason::Fenced,
            },
            TaskStatus::Forgotten => TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::RunnerLost,
            },
        };
        self.on_outcome(now, runner, report.task, outcome);
    }

    fn on_outcome(&mut self, now: Instant, runner: AgentId, task: TaskRef, outcome: TaskOutcome) {
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        let Some(ran_ms) = link.remove_task(now, &task) else {
            return;
        };
        if let TaskOutcome::NotRun { reason } = &outcome {
            if *reason != NotRunReason::SlotsFull {
                link.pause(now);
            }
        } else {
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Ack { tasks: vec![task] },
            });
        }
        let TicketState::Used(key) = self.tickets.state_of(&task.ticket) else {
            return;
        };
        self.record_run_result(now, runner, key, &outcome, ran_ms);
        self.apply_outcome(now, key, task.index, outcome);
    }

    pub(super) fn on_session_lost(&mut self, now: Instant, runner: AgentId, epoch: u64) {
        if let Some(link) = self.links.get_mut(&runner)
            && link.epoch == epoch
        {
            link.record_disconnect(now);
        }
    }

    /// Removes a lost runner and fails the attempts outstanding there.
    pub(super) fn remove_runner(&mut self, now: Instant, runner: AgentId) {
        let Some(link) = self.links.remove(&runner) else {
            return;
        };
        for task in link.outstanding.into_keys() {
            if let TicketState::Used(key) = self.tickets.state_of(&task.ticket) {
                let outcome = TaskOutcome::MayHaveRun {
                    reason: MayHaveRunReason::RunnerLost,
                };
                self.apply_outcome(now, key, task.index, outcome);
            }
        }
        self.dispatch(now);
    }
}
