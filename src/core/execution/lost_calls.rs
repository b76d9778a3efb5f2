//! Calls to the worker that get no response in time.
//!
//! A call may get lost while the worker responds to others, or the worker may be unresponsive. A start
//! that was lost is resolved as soon as later calls are answered; an unresponsive worker gets no more
//! starts, and its lease is left to expire.

use {
    super::{ExecutionLogEvent, Executor, ListedEnd, run::StartState},
    crate::core::{time::Instant, work::TaskName},
};

/// Time after which a call without a response counts as lost, in milliseconds; workers respond
/// within a few milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 40;

impl Executor {
    /// Resolves start calls that have been lost, or marks the worker unresponsive if it has not responded
    /// to any call since.
    pub(super) fn detect_lost_calls(&mut self, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        let last_response_at = worker.last_response_at;
        let is_lost = |since: Instant| now.millis_since(since) >= RESPONSE_TIMEOUT_MS;
        let is_unanswered = |since: Instant| is_lost(since) && last_response_at <= since;
        let has_runs = !self.runs.is_empty();
        let mut is_unresponsive = has_runs && worker.renewed_at.is_some_and(is_unanswered);
        let mut lost: Vec<(TaskName, u64)> = Vec::new();
        let mut requests_run_list = false;
        let runs = self.runs.iter_mut();
        for (task, run) in runs.filter(|(_, run)| run.replaced_worker.is_none()) {
            match &mut run.start {
                StartState::Pending { since, .. } if is_unanswered(*since) => {
                    is_unresponsive = true
                }
                StartState::Pending { since, token } if is_lost(*since) => {
                    lost.push((*task, *token));
                }
                StartState::Unresolved { requested_at, .. } if is_lost(*requested_at) => {
                    *requested_at = now;
                    requests_run_list = true;
                }
                StartState::Pending { .. }
                | StartState::Unresolved { .. }
                | StartState::Confirmed { .. } => {}
            }
        }
        if is_unresponsive {
            self.mark_worker_unresponsive(now);
            return;
        }
        for (task, token) in lost {
            self.mark_run_uncertain(now, task, token);
            self.record_lost_call(now);
        }
        if requests_run_list && !self.is_worker_unresponsive() {
            self.request_run_list();
        }
    }

    pub(super) fn is_worker_unresponsive(&self) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| worker.is_unresponsive)
    }

    /// Marks the worker unresponsive until its next response, and polls it at once; further polls follow as
    /// often as lease renewals.
    pub(super) fn mark_worker_unresponsive(&mut self, now: Instant) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.is_unresponsive {
            return;
        }
        worker.is_unresponsive = true;
        let event = ExecutionLogEvent::WorkerUnresponsive {
            worker: worker.view.life.id.clone(),
            heard_ms_ago: now.millis_since(worker.last_response_at),
            runs: self.runs.len(),
        };
        self.log_event(event);
        self.request_run_list();
    }

    /// Records a call that got no response; an unresponsive worker answers none.
    pub(super) fn record_lost_call(&mut self, now: Instant) {
        if let Some(worker) = &mut self.worker
            && !worker.is_unresponsive
        {
            worker.call_lost_at = Some(now);
        }
    }

    /// Forgets long polls that should have returned an outcome which another call returned first, so
    /// that a new one is sent.
    pub(super) fn drop_lost_polls(&mut self, ended: &[ListedEnd]) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if ended.iter().any(|end| end.sequence > worker.last_seen_end) {
            worker.long_polls.clear();
        }
    }
}
