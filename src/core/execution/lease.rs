//! The lease at the worker, the fencing token, and a worker that does not answer.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, HoldCall, run::StartState,
        worker_state::ClockReading,
    },
    crate::core::{link::RunOutcome, time::Instant, work::TaskId},
};

/// First step by which a token is raised that the worker rejects; doubled each time.
pub(crate) const INITIAL_TOKEN_STEP: u64 = 16;
/// Renewals of the lease in its length, so that three may be lost in a row.
const RENEWALS_PER_LEASE: u64 = 4;
/// Longest wait for ends while tasks run, in milliseconds; a lost answer delays an end by no more.
const LONG_POLL_MS: u64 = 400;
/// Longest wait for ends while nothing runs, in milliseconds.
const IDLE_LONG_POLL_MS: u64 = 1_500;
/// Time beyond the wait after which a watch counts as lost and another is begun, in milliseconds.
const LONG_POLL_SLACK_MS: u64 = 200;
/// Looks without an answer after which a worker that runs nothing counts as gone.
const MAX_FAILED_POLLS: u32 = 3;
/// Pause between looks at a worker that is not ready or does not answer, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

impl Executor {
    /// Renews the lease, keeps watching for ends, and gives up on a worker that does not answer.
    pub(super) fn maintain_worker(&mut self, now: Instant) {
        if self.worker.is_none() {
            return;
        }
        self.drop_unresponsive_worker(now);
        self.renew_lease(now);
        self.long_poll(now);
    }

    /// A new end for the lease, on the worker's clock; `None` while that clock is not known.
    ///
    /// The end is a point on the worker's clock, so an order that is held up, here or on its
    /// way, is late when it arrives and does nothing.
    pub(super) fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let limits = self.settings.limits;
        let worker = self.worker.as_mut()?;
        let ClockReading { clock_ms, at } = worker.clock?;
        let until_ms = clock_ms + now.millis_since(at) + limits.lease_ms;
        let expires_at = now.plus_ms(limits.lapse_ms() + clock_drift_ms(now.millis_since(at)));
        worker.lease_expires_at = worker.lease_expires_at.max(expires_at);
        Some(until_ms)
    }

    fn renew_lease(&mut self, now: Instant) {
        let limits = self.settings.limits;
        let renew_ms = limits.lease_ms / RENEWALS_PER_LEASE;
        let has_runs = !self.runs.is_empty();
        let Some(worker) = &self.worker else {
            return;
        };
        let interval_ms = if worker.ready {
            renew_ms
        } else {
            POLL_INTERVAL_MS
        };
        let is_due = worker
            .renewed_at
            .is_none_or(|renewed_at| now.millis_since(renewed_at) >= interval_ms);
        if !is_due || (worker.ready && !has_runs) {
            return;
        }
        // A worker that does not answer keeps its lease no longer than it must.
        let is_responsive = now.millis_since(worker.last_response_at) < limits.lease_ms;
        let extends_lease = worker.ready && has_runs && is_responsive;
        let lease_until_ms = if extends_lease {
            self.extend_lease(now)
        } else {
            None
        };
        if let Some(worker) = &mut self.worker {
            worker.renewed_at = Some(now);
        }
        self.call_hold(lease_until_ms, 0);
    }

    fn long_poll(&mut self, now: Instant) {
        let wait_ms = if self.runs.is_empty() {
            IDLE_LONG_POLL_MS
        } else {
            LONG_POLL_MS
        };
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_polling = worker
            .long_poll_since
            .is_some_and(|since| now.millis_since(since) < IDLE_LONG_POLL_MS + LONG_POLL_SLACK_MS);
        if !worker.ready || is_polling || now < worker.next_poll_at {
            return;
        }
        worker.long_poll_since = Some(now);
        self.call_hold(None, wait_ms);
    }

    /// Asks at once what runs.
    pub(super) fn request_run_list(&mut self) {
        self.call_hold(None, 0);
    }

    fn call_hold(&mut self, lease_until_ms: Option<u64>, wait_ms: u64) {
        let Some(worker) = &self.worker else {
            return;
        };
        self.last_hold_sequence += 1;
        let call = HoldCall {
            sequence: self.last_hold_sequence,
            worker: worker.view.life.id.clone(),
            token: self.token,
            last_seen_end: worker.last_seen_end,
            lease_until_ms,
            wait_ms,
        };
        self.actions.push(ExecutionAction::Hold(call));
    }

    pub(super) fn record_worker_response(&mut self, now: Instant) {
        if let Some(worker) = &mut self.worker {
            worker.last_response_at = now;
            worker.failed_polls = 0;
        }
    }

    /// Notes a look without an answer.
    ///
    /// Guards against a loop of calls to a worker that is gone: its host refuses connections at once, and
    /// each refusal would be followed by another call, thousands a second.
    pub(super) fn record_failed_poll(&mut self, now: Instant) {
        if let Some(worker) = &mut self.worker {
            worker.failed_polls += 1;
            worker.next_poll_at = now.plus_ms(POLL_INTERVAL_MS);
        }
    }

    /// Gives up a worker that does not answer, and all its runs once its lease is certainly over.
    fn drop_unresponsive_worker(&mut self, now: Instant) {
        let lease_ms = self.settings.limits.lease_ms;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let unresponsive = now.millis_since(worker.last_response_at) >= lease_ms;
        // Without runs a look may wait for long, so that looks count and not the time.
        let has_failed =
            unresponsive && (!self.runs.is_empty() || worker.failed_polls >= MAX_FAILED_POLLS);
        if !worker.ready || !has_failed || now < worker.lease_expires_at {
            return;
        }
        worker.ready = false;
        worker.renewed_at = None;
        let name = worker.view.life.id.clone();
        let runs = self.mark_all_runs_lost(now, "lease_over");
        self.log_event(ExecutionLogEvent::WorkerLost {
            worker: name,
            cause: "no_answer",
            runs,
        });
        self.announce_worker();
    }

    fn mark_all_runs_lost(&mut self, now: Instant, cause: &'static str) -> usize {
        let confirmed = self.mark_confirmed_runs_lost(now, cause);
        let unconfirmed: Vec<TaskId> = self.runs.keys().copied().collect();
        // Their worker may have begun them before it fell silent.
        for task in &unconfirmed {
            self.finish_run_with_cause(now, *task, RunOutcome::Lost, cause);
        }
        confirmed + unconfirmed.len()
    }

    /// Ends the runs that the worker is known to have had.
    pub(super) fn mark_confirmed_runs_lost(&mut self, now: Instant, cause: &'static str) -> usize {
        let confirmed: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.start, StartState::Confirmed { .. }))
            .map(|(task, _)| *task)
            .collect();
        for task in &confirmed {
            self.finish_run_with_cause(now, *task, RunOutcome::Lost, cause);
        }
        confirmed.len()
    }

    /// Goes on with a token above one that the worker rejected.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.saturating_add(self.token_step);
        self.token_step = self.token_step.saturating_mul(2);
        let (worker, token) = (self.worker_name(), self.token);
        self.log_event(ExecutionLogEvent::Fenced { worker, token });
    }
}

/// How much longer a span lasts on a worker's clock that is 2% slow.
const fn clock_drift_ms(span_ms: u64) -> u64 {
    span_ms / 50 + 1
}
