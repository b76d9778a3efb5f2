//! The lease at the worker, the fencing token, and a worker that does not answer.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, HoldCall, run::StartState,
        worker_state::ClockReading,
    },
    crate::core::{link::RunOutcome, time::Instant, work::TaskId},
};

/// First step by which a token is raised that the worker rejects; doubled each time.
pub(crate) const LEAST_TOKEN_STEP: u64 = 16;
/// Renewals of the lease in its length, so that three may be lost in a row.
const RENEWALS_PER_LEASE: u64 = 4;
/// Longest wait for ends while tasks run, in milliseconds; a lost answer delays an end by no more.
const WATCH_MS: u64 = 400;
/// Longest wait for ends while nothing runs, in milliseconds.
const IDLE_WATCH_MS: u64 = 1_500;
/// Time beyond the wait after which a watch counts as lost and another is begun, in milliseconds.
const WATCH_SLACK_MS: u64 = 200;
/// Looks without an answer after which a worker that runs nothing counts as gone.
const LOST_LOOKS: u32 = 3;
/// Pause between looks at a worker that is not ready or does not answer, in milliseconds.
const FIRST_LOOK_MS: u64 = 100;

impl Executor {
    /// Renews the lease, keeps watching for ends, and gives up on a worker that does not answer.
    pub(super) fn tend_worker(&mut self, now: Instant) {
        if self.worker.is_none() {
            return;
        }
        self.give_up_silent_worker(now);
        self.renew(now);
        self.watch(now);
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
        let over_at = now.plus_ms(limits.max_lease_ms() + slow_clock_ms(now.millis_since(at)));
        worker.lease_over_at = worker.lease_over_at.max(over_at);
        Some(until_ms)
    }

    fn renew(&mut self, now: Instant) {
        let limits = self.settings.limits;
        let renew_ms = limits.lease_ms / RENEWALS_PER_LEASE;
        let has_runs = !self.runs.is_empty();
        let Some(worker) = &self.worker else {
            return;
        };
        let pause_ms = if worker.ready {
            renew_ms
        } else {
            FIRST_LOOK_MS
        };
        let is_due = worker
            .renewed_at
            .is_none_or(|renewed_at| now.millis_since(renewed_at) >= pause_ms);
        if !is_due || (worker.ready && !has_runs) {
            return;
        }
        // A worker that does not answer keeps its lease no longer than it must.
        let answers = now.millis_since(worker.answered_at) < limits.lease_ms;
        let renews = worker.ready && has_runs && answers;
        let lease_until_ms = if renews { self.extend_lease(now) } else { None };
        if let Some(worker) = &mut self.worker {
            worker.renewed_at = Some(now);
        }
        self.call_hold(lease_until_ms, 0);
    }

    fn watch(&mut self, now: Instant) {
        let wait_ms = if self.runs.is_empty() {
            IDLE_WATCH_MS
        } else {
            WATCH_MS
        };
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_watched = worker
            .watching_since
            .is_some_and(|since| now.millis_since(since) < IDLE_WATCH_MS + WATCH_SLACK_MS);
        if !worker.ready || is_watched || now < worker.look_again_at {
            return;
        }
        worker.watching_since = Some(now);
        self.call_hold(None, wait_ms);
    }

    /// Asks at once what runs.
    pub(super) fn ask_lists(&mut self) {
        self.call_hold(None, 0);
    }

    fn call_hold(&mut self, lease_until_ms: Option<u64>, wait_ms: u64) {
        let Some(worker) = &self.worker else {
            return;
        };
        self.last_hold += 1;
        let call = HoldCall {
            sequence: self.last_hold,
            worker: worker.view.life.id.clone(),
            token: self.token,
            ends_seen: worker.ends_seen,
            lease_until_ms,
            wait_ms,
        };
        self.actions.push(ExecutionAction::Hold(call));
    }

    pub(super) fn note_worker_answer(&mut self, now: Instant) {
        if let Some(worker) = &mut self.worker {
            worker.answered_at = now;
            worker.unanswered = 0;
        }
    }

    /// Notes a look without an answer.
    ///
    /// Guards against a loop of calls to a worker that is gone: its host refuses connections at once, and
    /// each refusal would be followed by another call, thousands a second.
    pub(super) fn note_unanswered_look(&mut self, now: Instant) {
        if let Some(worker) = &mut self.worker {
            worker.unanswered += 1;
            worker.look_again_at = now.plus_ms(FIRST_LOOK_MS);
        }
    }

    /// Gives up a worker that does not answer, and all its runs once its lease is certainly over.
    fn give_up_silent_worker(&mut self, now: Instant) {
        let lease_ms = self.settings.limits.lease_ms;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let silent = now.millis_since(worker.answered_at) >= lease_ms;
        // Without runs a look may wait for long, so that looks count and not the time.
        let is_lost = silent && (!self.runs.is_empty() || worker.unanswered >= LOST_LOOKS);
        if !worker.ready || !is_lost || now < worker.lease_over_at {
            return;
        }
        worker.ready = false;
        worker.renewed_at = None;
        let name = worker.view.life.id.clone();
        let runs = self.lose_all_runs(now, "lease_over");
        self.log_event(ExecutionLogEvent::WorkerLost {
            worker: name,
            cause: "no_answer",
            runs,
        });
        self.announce_worker();
    }

    fn lose_all_runs(&mut self, now: Instant, cause: &'static str) -> usize {
        let confirmed = self.lose_confirmed_runs(now, cause);
        let unresolved: Vec<TaskId> = self.runs.keys().copied().collect();
        // Their worker may have begun them before it fell silent.
        for task in &unresolved {
            self.end_run_because(now, *task, RunOutcome::Lost, cause);
        }
        confirmed + unresolved.len()
    }

    /// Ends the runs that the worker is known to have had.
    pub(super) fn lose_confirmed_runs(&mut self, now: Instant, cause: &'static str) -> usize {
        let confirmed: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.start, StartState::Confirmed { .. }))
            .map(|(task, _)| *task)
            .collect();
        for task in &confirmed {
            self.end_run_because(now, *task, RunOutcome::Lost, cause);
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
const fn slow_clock_ms(span_ms: u64) -> u64 {
    span_ms / 50 + 1
}
