//! Start and stop calls to the worker, and its responses to them.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, SessionId, StartCall, StartResponse,
        StopCall,
        run::{Run, StartState},
    },
    crate::core::{
        link::{NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::TaskName,
    },
};

/// Maximum number of start calls for one run; each used run number and each change of the token
/// costs one.
const MAX_START_CALLS: u32 = 6;
/// Time before an unconfirmed stop call is repeated, in milliseconds; longer than a stop usually
/// takes.
pub(super) const STOP_RETRY_INTERVAL_MS: u64 = 100;

impl Executor {
    pub(super) fn start_run(&mut self, now: Instant, session: SessionId, order: StartOrder) {
        let task = order.run.task.name();
        let run = Run {
            session,
            number: order.run.number,
            token: self.token,
            start_calls: 0,
            received_at: now,
            start: StartState::Pending {
                since: now,
                token: self.token,
            },
            replaced_worker: None,
            stop: None,
            order,
        };
        self.runs.insert(task, run);
        self.call_start(now, task);
    }

    fn call_start(&mut self, now: Instant, task: TaskName) {
        let Some(lease_until_ms) = self.extend_lease(now) else {
            self.finish_run(
                now,
                task,
                RunOutcome::NotStarted(NotStartedReason::NoWorker),
            );
            return;
        };
        let (token, worker) = (self.token, self.worker_name());
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        run.start_calls += 1;
        run.token = token;
        run.start = StartState::Pending { since: now, token };
        let call = StartCall {
            worker,
            task,
            number: run.number,
            spec: run.order.spec.clone(),
            lease_until_ms,
            token,
        };
        self.actions.push(ExecutionAction::Start(call));
    }

    pub(super) fn worker_name(&self) -> String {
        let worker = self.worker.as_ref();
        worker.map_or_else(String::new, |worker| worker.view.life.id.clone())
    }

    pub(super) fn call_stop(&mut self, task: TaskName, number: u32) {
        let call = StopCall {
            worker: self.worker_name(),
            task,
            number,
            token: self.token,
        };
        self.actions.push(ExecutionAction::Stop(call));
    }

    pub(super) fn on_start_answered(
        &mut self,
        now: Instant,
        call: &StartCall,
        response: StartResponse,
    ) {
        // The worker that the call names may have been replaced since.
        if call.worker != self.worker_name() {
            return;
        }
        if !matches!(response, StartResponse::Unanswered | StartResponse::Refused) {
            self.record_worker_response(now);
        }
        let token = self.token;
        let Some(run) = self.runs.get_mut(&call.task) else {
            return;
        };
        // A run list may have resolved the start in the meantime, and the start may have been repeated
        // under a higher token: the timeout of the earlier call says nothing about the later one.
        let is_latest_call = run.number == call.number
            && matches!(run.start, StartState::Pending { token, .. } if token == call.token);
        if !is_latest_call {
            return;
        }
        match response {
            StartResponse::Accepted => run.start = StartState::Confirmed { at: now },
            StartResponse::Unanswered => self.mark_run_uncertain(now, call.task, call.token),
            StartResponse::Refused => {
                self.mark_worker_unresponsive(now);
                self.finish_not_started(now, call.task, NotStartedReason::Unresponsive);
            }
            StartResponse::Fenced => {
                if call.token >= token {
                    self.raise_token();
                }
                self.retry_start(now, call.task, NotStartedReason::Rejected);
            }
            StartResponse::NumberUsed => {
                run.number = run.number.saturating_add(1);
                self.retry_start(now, call.task, NotStartedReason::Rejected);
            }
            StartResponse::Late => self.retry_start(now, call.task, NotStartedReason::Rejected),
            StartResponse::NoRoom => {
                let (session, needs) = (run.session, run.order.needs);
                self.record_request(now, session, needs);
                self.finish_not_started(now, call.task, NotStartedReason::NoRoom);
            }
            StartResponse::Unhealthy => {
                self.finish_not_started(now, call.task, NotStartedReason::Unhealthy);
            }
            StartResponse::Rejected => {
                self.finish_not_started(now, call.task, NotStartedReason::Rejected);
            }
        }
    }

    /// Repeats a start call that had no effect, unless the run is to be stopped.
    pub(super) fn retry_start(&mut self, now: Instant, task: TaskName, reason: NotStartedReason) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        if run.stop.is_some() || run.start_calls >= MAX_START_CALLS {
            self.finish_not_started(now, task, reason);
            return;
        }
        self.call_start(now, task);
    }

    pub(super) fn finish_not_started(
        &mut self,
        now: Instant,
        task: TaskName,
        reason: NotStartedReason,
    ) {
        self.finish_run(now, task, RunOutcome::NotStarted(reason));
    }

    /// Raises the fencing token above that of a start call without a response.
    ///
    /// The call could otherwise start the run seconds later, while its task already runs elsewhere.
    /// Once the worker has responded to a hold call with the higher token, it either lists the run
    /// or will reject the start call whenever that arrives.
    pub(super) fn mark_run_uncertain(&mut self, now: Instant, task: TaskName, call_token: u64) {
        self.raise_token_above(call_token);
        let token = self.token;
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let may_have_started = matches!(run.start, StartState::Confirmed { .. });
        run.start = StartState::Unresolved {
            token: call_token,
            may_have_started,
            requested_at: now,
        };
        let run_id = run.order.run;
        self.log_event(ExecutionLogEvent::OrderUnanswered {
            job: task.job.to_string(),
            run: run_id.to_string(),
            token,
        });
        self.request_run_list();
    }

    /// Raises the fencing token above that of a call, which has no effect once the worker has responded
    /// under the new one.
    pub(super) const fn raise_token_above(&mut self, call_token: u64) {
        if self.token <= call_token {
            self.token = call_token + 1;
        }
    }

    /// Marks all runs uncertain when a new incarnation of the worker starts; its run list shows
    /// which of them it has.
    ///
    /// The earlier incarnation may have started a run without its response arriving, so a run
    /// missing from the list is lost rather than not started. `called_at` is the time of the call that
    /// confirmed the new incarnation.
    pub(super) fn mark_all_runs_uncertain(&mut self, now: Instant, called_at: Instant) {
        let uncertain = self.runs.iter().map(|(task, run)| {
            // A list that was requested after the confirmation contains the run if the worker has it,
            // whatever its token; an earlier one may have been made before the start took effect.
            let token = match run.start {
                StartState::Confirmed { at } if at < called_at => 0,
                _ => run.token,
            };
            (*task, token)
        });
        for (task, token) in uncertain.collect::<Vec<_>>() {
            self.mark_run_uncertain(now, task, token);
            if let Some(run) = self.runs.get_mut(&task)
                && let StartState::Unresolved {
                    may_have_started, ..
                } = &mut run.start
            {
                *may_have_started = true;
            }
        }
    }

    /// Records a confirmed stop and requests the run list that will show its effect.
    pub(super) fn on_stop_answered(&mut self, call: &StopCall, confirmed: bool) {
        let next_hold = self.last_hold_sequence + 1;
        // An earlier incarnation may have confirmed the stop; the current one may execute the run.
        let is_current = self.worker.as_ref().is_some_and(|worker| {
            worker.view.life.id == call.worker && worker.first_token <= call.token
        });
        if !is_current {
            return;
        }
        let Some(run) = self.runs.get_mut(&call.task) else {
            return;
        };
        if run.number != call.number || !confirmed {
            return;
        }
        if let Some(stop) = &mut run.stop
            && stop.confirmed_from_hold.is_none()
        {
            stop.confirmed_from_hold = Some(next_hold);
            self.request_run_list();
        }
    }

    /// Repeats stop calls that were not confirmed.
    ///
    /// An unresponsive worker gets none: each would open another connection, and its lease ends the runs.
    pub(super) fn retry_stops(&mut self, now: Instant) {
        if self.is_worker_unresponsive() {
            return;
        }
        let mut due = Vec::new();
        for (task, run) in &mut self.runs {
            if let Some(stop) = &mut run.stop
                && run.replaced_worker.is_none()
                && stop.confirmed_from_hold.is_none()
                && now.millis_since(stop.sent_at) >= STOP_RETRY_INTERVAL_MS
            {
                stop.sent_at = now;
                due.push((*task, run.number));
            }
        }
        for (task, number) in due {
            self.call_stop(task, number);
        }
    }
}
