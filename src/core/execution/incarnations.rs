//! Changes of the worker's incarnation.
//!
//! A report of another incarnation proves neither that the known one is over nor that the reported one
//! exists: it may be late, or come from another sender. An incarnation is used only after the worker has
//! responded to a call that names it, with the start time that was reported.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, HoldCall, HoldResponse,
        run::{ReplacedWorker, Run, StartState},
        worker_state::WorkerState,
    },
    crate::core::{
        link::RunOutcome,
        time::Instant,
        work::{TaskName, WorkerView},
        worker_speed::MeasuredSpeed,
    },
    std::{collections::BTreeMap, mem},
};

/// Reports that may wait for their confirmation at the same time.
const MAX_UNCONFIRMED_REPORTS: usize = 4;
/// Time after which a report that was not confirmed is ignored, in milliseconds: workers report about every
/// two seconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 2_000;
/// Time before a call that did not reach the worker is repeated, in milliseconds.
const CONFIRMATION_RETRY_MS: u64 = 100;
/// Minimum time between two log lines about reports that are ignored for the same reason, in milliseconds.
const IGNORED_REPORT_LOG_INTERVAL_MS: u64 = 1_000;

/// A report of another incarnation than the known one.
#[derive(Debug)]
pub(super) struct UnconfirmedReport {
    pub(super) view: WorkerView,
    sequence: u64,
    received_at: Instant,
    /// When the worker was last called by the reported name.
    called_at: Instant,
    /// Sequence number of that call; `None` once it is over.
    call: Option<u64>,
}

/// Reports that were ignored for one reason.
#[derive(Debug, Default)]
pub(super) struct IgnoredReports {
    logged_at: Option<Instant>,
    /// Number of reports since the latest log line.
    count: u64,
}

/// Ignored reports by reason.
pub(super) type IgnoredReportsByReason = BTreeMap<&'static str, IgnoredReports>;

impl Executor {
    /// Handles a report of another incarnation than the known one.
    pub(super) fn on_other_incarnation(&mut self, now: Instant, view: WorkerView, sequence: u64) {
        let mut reports = self.unconfirmed_reports.iter_mut();
        if let Some(report) = reports.find(|report| report.view.life == view.life) {
            if sequence > report.sequence {
                report.view = view;
                report.sequence = sequence;
                report.received_at = now;
            }
            return;
        }
        if self.unconfirmed_reports.len() >= MAX_UNCONFIRMED_REPORTS {
            self.ignore_report(now, &view, "too_many_reports");
            return;
        }
        let call = self.call_reported_worker(&view);
        self.unconfirmed_reports.push(UnconfirmedReport {
            view,
            sequence,
            received_at: now,
            called_at: now,
            call: Some(call),
        });
    }

    /// Calls the worker in the name of the reported incarnation; returns the sequence number of the call.
    fn call_reported_worker(&mut self, view: &WorkerView) -> u64 {
        let token = self.token;
        let is_pending = |run: &Run| matches!(run.start, StartState::Pending { token: sent, .. } if sent == token);
        if self.worker_name() == view.life.id && self.runs.values().any(is_pending) {
            // The start must not take effect after the run list.
            self.token += 1;
        }
        self.last_hold_sequence += 1;
        let call = HoldCall {
            sequence: self.last_hold_sequence,
            worker: view.life.id.clone(),
            token: self.token,
            last_seen_end: 0,
            lease_until_ms: None,
            wait_ms: 0,
        };
        self.actions.push(ExecutionAction::Hold(call));
        self.last_hold_sequence
    }

    /// Repeats calls that did not reach the worker, and drops reports that were not confirmed in time.
    pub(super) fn confirm_reports(&mut self, now: Instant) {
        for mut report in mem::take(&mut self.unconfirmed_reports) {
            if now.millis_since(report.received_at) >= CONFIRMATION_TIMEOUT_MS {
                self.ignore_report(now, &report.view, "not_confirmed");
                continue;
            }
            let is_due = now.millis_since(report.called_at) >= CONFIRMATION_RETRY_MS;
            if report.call.is_none() && is_due {
                report.call = Some(self.call_reported_worker(&report.view));
                report.called_at = now;
            }
            self.unconfirmed_reports.push(report);
        }
    }

    /// Handles the response to a call that names a reported incarnation; returns whether the response is
    /// one of the known incarnation.
    ///
    /// Calls from before the latest change of the incarnation confirm nothing: their responses may be late.
    pub(super) fn on_reported_worker_answered(
        &mut self,
        now: Instant,
        call: &HoldCall,
        response: &HoldResponse,
    ) -> bool {
        let mut reports = self.unconfirmed_reports.iter();
        let Some(index) = reports.position(|report| report.call == Some(call.sequence)) else {
            return true;
        };
        match response {
            HoldResponse::RunList { born_unix_ms, .. } => {
                let UnconfirmedReport {
                    view,
                    sequence,
                    called_at,
                    ..
                } = self.unconfirmed_reports.remove(index);
                if *born_unix_ms != Some(view.life.born_unix_ms) {
                    self.ignore_report(now, &view, "not_confirmed");
                    return false;
                }
                let known = self.worker.as_ref().map(|worker| &worker.view.life);
                if known == Some(&view.life) {
                    // Its response to another call was earlier.
                    self.on_heartbeat(now, view, sequence);
                } else {
                    self.start_incarnation(now, view.clone(), sequence, called_at);
                    self.persist_worker(view);
                }
                return true;
            }
            HoldResponse::OtherWorker => {
                let report = self.unconfirmed_reports.remove(index);
                self.ignore_report(now, &report.view, "not_confirmed");
            }
            HoldResponse::Fenced => {
                self.unconfirmed_reports[index].call = None;
                if call.token >= self.token {
                    self.raise_token();
                }
            }
            HoldResponse::Refused | HoldResponse::Unanswered => {
                self.unconfirmed_reports[index].call = None;
            }
        }
        false
    }

    /// Starts tracking a later incarnation of the same name that has responded before its report.
    ///
    /// Its run list resolves the runs of the earlier one. It gets no starts before its report: it may be of
    /// another kind, or draining.
    pub(super) fn detect_restart(
        &mut self,
        now: Instant,
        call: &HoldCall,
        born_unix_ms: Option<u64>,
    ) {
        let Some((worker, born_unix_ms)) = self.worker.as_ref().zip(born_unix_ms) else {
            return;
        };
        let known = &worker.view.life;
        let is_later = match worker.known_from_call {
            Some(newest_call) => call.sequence > newest_call,
            None => born_unix_ms > known.born_unix_ms,
        };
        if known.id != call.worker || known.born_unix_ms == born_unix_ms || !is_later {
            return;
        }
        let mut view = worker.view.clone();
        view.life.born_unix_ms = born_unix_ms;
        view.draining = true;
        // When the call was sent is not known, so that only a list under a higher token resolves the runs.
        self.start_incarnation(now, view, 0, Instant::default());
        self.announce_worker();
    }

    /// Starts tracking another incarnation of the worker; no run ends by that.
    ///
    /// A worker may restart under the same name and accept starts seconds before its first report
    /// arrives: pending and confirmed runs may belong to the new incarnation, and stay uncertain until its
    /// run list under a higher token resolves them. Under another name they can only belong to the
    /// earlier one, which may execute them until its lease has expired.
    pub(super) fn start_incarnation(
        &mut self,
        now: Instant,
        view: WorkerView,
        sequence: u64,
        called_at: Instant,
    ) {
        self.record_new_incarnation();
        self.log_event(ExecutionLogEvent::WorkerSeen {
            worker: view.life.id.clone(),
            born_unix_ms: view.life.born_unix_ms,
            runs: self.runs.len(),
        });
        // Responses to earlier calls in the name of others may be late.
        let is_of_view = |report: &UnconfirmedReport| report.view.life == view.life;
        self.unconfirmed_reports.retain(is_of_view);
        let known = self.worker.take();
        let is_restart = known
            .as_ref()
            .is_some_and(|known| known.view.life.id == view.life.id);
        self.has_replaced_worker |= known.is_some() && !is_restart;
        if is_restart && known.as_ref().is_some_and(|known| known.clock.is_some()) {
            // Calls for the earlier incarnation that are under way must have no effect on the new one.
            self.raise_token_above(self.token);
        }
        let mut worker = WorkerState::new(now, view, sequence, self.token);
        worker.is_restart = is_restart;
        for run in self.runs.values_mut() {
            if run.replaced_worker.is_none()
                && let Some(known) = &known
            {
                run.replaced_worker = Some(ReplacedWorker {
                    id: known.view.life.id.clone(),
                    lease_expires_at: known.lease_expires_at,
                });
            }
            let is_same_name = |replaced: &mut ReplacedWorker| replaced.id == worker.view.life.id;
            if let Some(replaced) = run.replaced_worker.take_if(is_same_name) {
                worker.lease_expires_at = worker.lease_expires_at.max(replaced.lease_expires_at);
            }
            if let Some(stop) = &mut run.stop {
                stop.confirmed_from_hold = None;
            }
        }
        self.worker = Some(worker);
        if is_restart {
            self.assume_longest_lease(now);
        }
        self.speed = MeasuredSpeed::default();
        self.mark_all_runs_uncertain(now, called_at);
    }

    /// Marks the runs lost whose worker was replaced by one of another name, once its lease has expired.
    pub(super) fn end_runs_of_replaced_workers(&mut self, now: Instant) {
        let is_over = |replaced: &ReplacedWorker| now >= replaced.lease_expires_at;
        let over: Vec<TaskName> = self
            .runs
            .iter()
            .filter(|(_, run)| run.replaced_worker.as_ref().is_some_and(is_over))
            .map(|(task, _)| *task)
            .collect();
        for task in &over {
            self.finish_run_with_cause(now, *task, RunOutcome::Lost, "worker_replaced");
        }
        if let Some(worker) = self.worker.as_ref().filter(|_| !over.is_empty()) {
            self.persist_worker(worker.view.clone());
        }
    }

    /// Logs that a report is not used; a series of them is logged once per interval.
    pub(super) fn ignore_report(&mut self, now: Instant, view: &WorkerView, reason: &'static str) {
        let ignored = self.ignored_reports.entry(reason).or_default();
        ignored.count += 1;
        let is_recent = |logged_at| now.millis_since(logged_at) < IGNORED_REPORT_LOG_INTERVAL_MS;
        if ignored.logged_at.is_some_and(is_recent) {
            return;
        }
        ignored.logged_at = Some(now);
        let reports = mem::take(&mut ignored.count);
        self.log_event(ExecutionLogEvent::ReportIgnored {
            worker: view.life.id.clone(),
            born_unix_ms: view.life.born_unix_ms,
            reason,
            reports,
        });
    }
}
