//! Clients that cancel their jobs.

use {
    super::simulation::{Event, Simulation},
    crate::core::{
        dispatch::{DispatchEvent, WaiterId},
        work::TaskId,
    },
};

/// Time after the confirmation of a cancellation from which no task of the job may start, in
/// milliseconds.
const CANCELLATION_MS: u64 = 3_000;

/// A cancellation that waits for its reply.
#[derive(Debug)]
pub(super) struct CancelCall {
    client: usize,
    /// The client's submission that was waiting when it cancelled the job.
    submission: Option<(usize, u64, u64)>,
}

impl Simulation {
    pub(super) fn cancel(&mut self, client: usize) {
        if self.clients[client].finished {
            return;
        }
        let Some(call) = self.call_any_entry() else {
            self.schedule_in_ms(50, Event::Cancel { client });
            return;
        };
        let submission = self.clients[client].pending_call;
        self.cancel_calls
            .insert(call, CancelCall { client, submission });
        let event = DispatchEvent::Cancel {
            waiter: WaiterId(call.2),
            id: self.clients[client].job,
        };
        self.deliver_client_input(call, event);
    }

    pub(super) fn deliver_cancel_reply(&mut self, call: (usize, u64, u64), is_cancelled: bool) {
        let Some(CancelCall { client, submission }) = self.cancel_calls.remove(&call) else {
            return;
        };
        self.trace(format!("client {client}: cancelled: {is_cancelled}"));
        let model = &self.clients[client];
        let is_open = submission.is_some() && submission == model.pending_call;
        if is_cancelled {
            self.cancelled_at.entry(model.job).or_insert(self.now);
            self.report.confirmed_cancellations += 1;
        } else if is_open && self.setup.faults == 0 {
            let what = format!("the cancellation of {} didn't reach its entry", model.job);
            self.report.record_violation(what);
        }
    }

    pub(super) fn check_not_cancelled(&mut self, task: TaskId) {
        let cancelled_at = self.cancelled_at.get(&task.job);
        if cancelled_at.is_some_and(|at| self.now.millis_since(*at) >= CANCELLATION_MS) {
            let what = format!("{task} starts long after its job was cancelled");
            self.report.record_violation(what);
        }
    }
}
