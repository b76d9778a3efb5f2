//! The worker's lease, the fencing token, and detection of an unresponsive worker.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, HoldCall,
        run::{Run, StartState},
        worker_state::{ClockReading, Departure},
    },
    crate::core::{link::RunOutcome, time::Instant, work::TaskName},
};

/// First increment of a fencing token that the worker rejected, for a system clock that was set back by
/// up to 16 s; doubles with each rejection.
pub(crate) const INITIAL_TOKEN_STEP: u64 = 16_000;
/// Renewals within one lease, so that three in a row may fail.
const RENEWALS_PER_LEASE: u64 = 4;
/// Long poll timeout while tasks run, in milliseconds; also the maximum delay of an outcome after a
/// lost response.
const LONG_POLL_MS: u64 = 400;
/// Long poll timeout while nothing runs, in milliseconds.
const IDLE_LONG_POLL_MS: u64 = 1_500;
/// Time beyond [`IDLE_LONG_POLL_MS`] after which a long poll without a response is repeated, in
/// milliseconds.
const LONG_POLL_SLACK_MS: u64 = 200;
/// Failed polls after which an idle worker counts as unavailable.
const MAX_FAILED_POLLS: u32 = 3;
/// Longest lease that a worker grants, in milliseconds; the platform's `hold_max_ms`.
const MAX_GRANTED_LEASE_MS: u64 = 1_000;
/// Time between polls of a worker that is not ready or does not respond, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

impl Executor {
    /// Renews the lease, keeps a long poll open and drops an unresponsive worker.
    pub(super) fn maintain_worker(&mut self, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        if worker.departure == Departure::Left {
            return;
        }
        self.drop_unresponsive_worker(now);
        self.renew_lease(now);
        self.long_poll(now);
    }

    /// Returns a new end of the lease on the worker's clock, or `None` if that clock is unknown or the
    /// lease must end because a stop is overdue.
    ///
    /// Because the end is a point on the worker's clock, a call that is delayed beyond it has no
    /// effect on arrival.
    pub(super) fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let limits = self.settings.limits;
        if self.has_overdue_stop(now) {
            return None;
        }
        let worker = self.worker.as_mut()?;
        let ClockReading { clock_ms, at } = worker.clock?;
        let until_ms = clock_ms + now.millis_since(at) + limits.lease_ms;
        let expires_at = now.plus_ms(limits.max_lease_ms() + clock_drift_ms(now.millis_since(at)));
        worker.lease_expires_at = worker.lease_expires_at.max(expires_at);
        Some(until_ms)
    }

    /// Assumes that the worker granted the longest lease before it rejected the calls for its earlier
    /// incarnation, whose clock showed more.
    pub(super) fn assume_longest_lease(&mut self, now: Instant) {
        let lease_ms = MAX_GRANTED_LEASE_MS + clock_drift_ms(MAX_GRANTED_LEASE_MS);
        if let Some(worker) = &mut self.worker {
            worker.lease_expires_at = worker.lease_expires_at.max(now.plus_ms(lease_ms));
        }
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
        let is_idle = worker.accepts_starts() && !has_runs;
        if !is_due || is_idle {
            return;
        }
        // The lease of an unresponsive or leaving worker is not renewed, so that it expires as early as
        // possible.
        let is_serving = worker.departure == Departure::Serving;
        let extends_lease = worker.accepts_starts() && is_serving && has_runs;
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
        let sequence = self.last_hold_sequence + 1;
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker
            .long_polls
            .retain(|_, since| now.millis_since(*since) < IDLE_LONG_POLL_MS + LONG_POLL_SLACK_MS);
        let is_polling = worker.long_polls.len() >= worker.wanted_long_polls(now);
        if !worker.accepts_starts() || is_polling || now < worker.next_poll_at {
            return;
        }
        worker.long_polls.insert(sequence, now);
        self.call_hold(None, wait_ms);
    }

    /// Requests the run list without waiting for a run to finish.
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
            worker.record_response(now);
        }
    }

    /// Records a failed poll and delays the next one.
    ///
    /// The host of a stopped worker refuses connections at once; without the delay, polls would
    /// repeat in a tight loop.
    pub(super) fn record_failed_poll(&mut self, now: Instant, refused: bool) {
        if let Some(worker) = &mut self.worker {
            worker.failed_polls += 1;
            worker.refused_polls = if refused { worker.refused_polls + 1 } else { 0 };
            worker.next_poll_at = now.plus_ms(POLL_INTERVAL_MS);
        }
    }

    /// Drops an unresponsive worker, and marks all its runs lost once its lease has certainly
    /// expired.
    fn drop_unresponsive_worker(&mut self, now: Instant) {
        let lease_ms = self.settings.limits.lease_ms;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let unresponsive = now.millis_since(worker.last_response_at) >= lease_ms;
        // An idle worker may hold a poll for longer than the lease, so the elapsed time alone does
        // not show that it is unavailable.
        let has_failed =
            unresponsive && (!self.runs.is_empty() || worker.failed_polls >= MAX_FAILED_POLLS);
        if now < worker.lease_expires_at {
            return;
        }
        if !worker.ready && unresponsive {
            self.mark_all_runs_lost(now, "lease_over");
            return;
        }
        if !worker.ready || !has_failed {
            return;
        }
        worker.ready = false;
        worker.renewed_at = None;
        if worker.departure == Departure::Leaving {
            worker.departure = Departure::Left;
        }
        let name = worker.view.life.id.clone();
        self.record_unresponsive_worker();
        let runs = self.mark_all_runs_lost(now, "lease_over");
        self.log_event(ExecutionLogEvent::WorkerLost {
            worker: name,
            cause: "no_answer",
            runs,
        });
        self.announce_worker();
    }

    fn mark_all_runs_lost(&mut self, now: Instant, cause: &'static str) -> usize {
        let runs = self.runs.iter();
        let runs = runs.filter(|(_, run)| run.replaced_worker.is_none());
        let tasks: Vec<TaskName> = runs.clone().map(|(task, _)| *task).collect();
        let is_unconfirmed = |run: &Run| !matches!(run.start, StartState::Confirmed { .. });
        if runs.clone().any(|(_, run)| is_unconfirmed(run)) {
            // Their start calls are late at this incarnation, but not at one whose clock starts again.
            self.raise_token_above(self.token);
        }
        // The worker may also have started those whose start call got no response.
        for task in &tasks {
            self.finish_run_with_cause(now, *task, RunOutcome::Lost, cause);
        }
        tasks.len()
    }

    /// Raises the token above one that the worker rejected.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.saturating_add(self.token_step);
        self.token_step = self.token_step.saturating_mul(2);
        let (worker, token) = (self.worker_name(), self.token);
        self.log_event(ExecutionLogEvent::Fenced { worker, token });
    }

    /// Reports that no run of an earlier process is left at the worker, and that none can start there.
    ///
    /// After the worker has rejected a token, the next one that it accepts may still be below those of
    /// start calls that are under way. Such calls end with their lease only, like runs at a worker that
    /// was replaced by one of another name.
    pub(super) fn report_stale_runs_stopped(&mut self) {
        let was_rejected = self.token_step > INITIAL_TOKEN_STEP;
        if !was_rejected && !self.has_replaced_worker {
            self.actions.push(ExecutionAction::StaleRunsStopped);
        }
    }
}

/// Extra time that a span may take on a worker's clock that runs 2% slow.
const fn clock_drift_ms(span_ms: u64) -> u64 {
    span_ms / 50 + 1
}
