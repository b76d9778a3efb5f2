//! Application of the worker's run lists.

use {
    super::{
        ExecutionLogEvent, Executor, HoldCall, HoldResponse, ListedEnd, ListedRun,
        run::StartState,
        run_calls::STOP_RETRY_INTERVAL_MS,
        worker_state::{ClockReading, Departure},
    },
    crate::core::{
        link::{NotStartedReason, RunOutcome},
        time::Instant,
        work::TaskName,
    },
    std::collections::BTreeMap,
};

impl Executor {
    pub(super) fn on_hold_answered(
        &mut self,
        now: Instant,
        call: &HoldCall,
        response: HoldResponse,
    ) {
        if call.wait_ms > 0
            && let Some(worker) = &mut self.worker
        {
            worker.long_polls.remove(&call.sequence);
        }
        let is_known_worker = self.on_reported_worker_answered(now, call, &response)
            && call.worker == self.worker_name();
        if !is_known_worker {
            return;
        }
        match response {
            HoldResponse::RunList {
                born_unix_ms,
                clock_ms,
                running,
                ended,
            } => {
                self.detect_restart(now, call, born_unix_ms);
                if !self.is_current_incarnation(call, born_unix_ms) {
                    return;
                }
                // The worker was unreachable, but has not crashed.
                self.lost_tasks = None;
                let stale = self.is_stale(clock_ms);
                self.record_clock(now, clock_ms);
                if call.wait_ms == 0 {
                    self.drop_lost_polls(&ended);
                }
                self.apply_outcomes(now, &ended);
                self.apply_running(now, call, &running, stale);
            }
            HoldResponse::Fenced => {
                self.record_worker_response(now);
                if call.token >= self.token {
                    self.raise_token();
                }
            }
            HoldResponse::Refused => {
                self.record_failed_poll(now, true);
                self.mark_worker_unresponsive(now);
            }
            HoldResponse::Unanswered => {
                self.record_failed_poll(now, false);
                self.record_lost_call(now);
            }
            HoldResponse::OtherWorker => self.record_failed_poll(now, false),
        }
    }

    /// Whether a run list belongs to the known incarnation.
    ///
    /// A worker may restart under the same name, and responses of the earlier incarnation may
    /// arrive late.
    fn is_current_incarnation(&self, call: &HoldCall, born_unix_ms: Option<u64>) -> bool {
        self.worker.as_ref().is_some_and(|worker| {
            let incarnation = &worker.view.life;
            incarnation.id == call.worker
                && born_unix_ms.is_none_or(|born| born == incarnation.born_unix_ms)
        })
    }

    /// Whether a newer run list has already been applied.
    fn is_stale(&self, clock_ms: u64) -> bool {
        let clock = self.worker.as_ref().and_then(|worker| worker.clock);
        clock.is_some_and(|known| clock_ms < known.clock_ms)
    }

    fn record_clock(&mut self, now: Instant, clock_ms: u64) {
        let newest_call = self.last_hold_sequence;
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.record_response(now);
        worker.known_from_call.get_or_insert(newest_call);
        // Responses may arrive out of order; the clock never runs backwards.
        if worker.clock.is_none_or(|known| clock_ms >= known.clock_ms) {
            worker.clock = Some(ClockReading { clock_ms, at: now });
        }
    }

    fn apply_outcomes(&mut self, now: Instant, ended: &[ListedEnd]) {
        for listed in ended {
            let Some(worker) = &mut self.worker else {
                return;
            };
            if listed.sequence <= worker.last_seen_end {
                continue;
            }
            worker.last_seen_end = listed.sequence;
            let is_listed_number = |number: u32| number == listed.number;
            if self
                .runs
                .get(&listed.task)
                .is_some_and(|run| run.replaced_worker.is_none() && is_listed_number(run.number))
            {
                self.confirm_start(now, listed.task);
                self.finish_run(now, listed.task, listed.end);
            }
        }
    }

    /// Records that the worker has started the run.
    fn confirm_start(&mut self, now: Instant, task: TaskName) {
        if let Some(run) = self.runs.get_mut(&task)
            && !matches!(run.start, StartState::Confirmed { .. })
        {
            run.start = StartState::Confirmed { at: now };
        }
    }

    /// Applies the list of running tasks.
    ///
    /// Responses on different connections may arrive out of order, and a stale list may still
    /// contain a run that has finished. Only the newest list identifies orphaned runs.
    fn apply_running(&mut self, now: Instant, call: &HoldCall, running: &[ListedRun], stale: bool) {
        let listed: BTreeMap<TaskName, u32> =
            running.iter().map(|run| (run.task, run.number)).collect();
        if stale {
            self.reconcile_runs(now, call, &listed);
            return;
        }
        let orphans = self.stop_orphaned_runs(&listed);
        self.reconcile_runs(now, call, &listed);
        self.mark_worker_ready(now, call, orphans);
    }

    /// Stops runs that this process does not know: runs of an earlier process of this agent, and
    /// starts that took effect after they had been resolved as not started.
    fn stop_orphaned_runs(&mut self, listed: &BTreeMap<TaskName, u32>) -> usize {
        let runs = &self.runs;
        let is_orphan = |(task, number): &(&TaskName, &u32)| {
            runs.get(*task).is_none_or(|run| run.number != **number)
        };
        let orphans: Vec<(TaskName, u32)> = listed
            .iter()
            .filter(is_orphan)
            .map(|(task, number)| (*task, *number))
            .collect();
        for (task, number) in &orphans {
            self.log_event(ExecutionLogEvent::StrayRun {
                job: task.job.to_string(),
                task: task.to_string(),
                number: *number,
            });
            self.call_stop(*task, *number);
        }
        orphans.len()
    }

    /// Resolves uncertain starts and confirmed stops by whether their run is listed.
    fn reconcile_runs(&mut self, now: Instant, call: &HoldCall, listed: &BTreeMap<TaskName, u32>) {
        let stopped_after_ms = self.settings.limits.stop_ms + STOP_RETRY_INTERVAL_MS;
        let mut finished = Vec::new();
        let mut void = Vec::new();
        let runs = self.runs.iter_mut();
        for (task, run) in runs.filter(|(_, run)| run.replaced_worker.is_none()) {
            let is_listed = listed.get(task) == Some(&run.number);
            let stopped = run
                .stop
                .and_then(|stop| stop.confirmed_from_hold)
                .is_some_and(|hold| call.sequence >= hold);
            match run.start {
                StartState::Unresolved { token, .. } if is_listed && token < call.token => {
                    run.start = StartState::Confirmed { at: now };
                }
                StartState::Unresolved {
                    token,
                    may_have_started,
                    ..
                } if token < call.token => {
                    if may_have_started {
                        finished.push((*task, RunOutcome::Lost));
                    } else {
                        void.push(*task);
                    }
                }
                StartState::Pending { .. } | StartState::Unresolved { .. } => {}
                StartState::Confirmed { .. } if !is_listed && stopped => {
                    finished.push((*task, RunOutcome::Stopped));
                }
                StartState::Confirmed { .. } if stopped => {
                    // The confirmation was for an earlier incarnation if the run goes on for long.
                    if let Some(stop) = &mut run.stop
                        && now.millis_since(stop.sent_at) >= stopped_after_ms
                    {
                        stop.confirmed_from_hold = None;
                    }
                }
                StartState::Confirmed { .. } => {}
            }
        }
        for (task, end) in finished {
            match end {
                RunOutcome::Lost => self.finish_run_with_cause(now, task, end, "not_listed"),
                _ => self.finish_run(now, task, end),
            }
        }
        for task in void {
            self.retry_start(now, task, NotStartedReason::OrderLost);
        }
    }

    /// Marks the worker ready once its run list under the current token contains no orphaned runs.
    fn mark_worker_ready(&mut self, now: Instant, call: &HoldCall, orphans: usize) {
        let token = self.token;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let has_left = worker.departure == Departure::Left;
        if worker.ready || has_left || orphans > 0 || call.token < token {
            return;
        }
        worker.ready = true;
        let name = worker.view.life.id.clone();
        if worker.is_restart {
            self.assume_longest_lease(now);
        }
        self.report_stale_runs_stopped();
        self.log_event(ExecutionLogEvent::WorkerReady {
            worker: name,
            token,
        });
        self.announce_worker();
    }
}
