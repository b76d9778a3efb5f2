//! Tests of a worker's planned shutdown.

use super::*;

fn announcement(id: &str, born_unix_ms: Option<u64>) -> LeavingWorker {
    LeavingWorker {
        id: id.to_owned(),
        born_unix_ms,
    }
}

impl TestExecutor {
    fn send_leave(&mut self) {
        let worker = announcement("w", Some(BORN_MS));
        self.send_event(ExecutionEvent::WorkerLeaving(worker));
    }

    fn may_acknowledge_leave(&self) -> bool {
        !self.executor.has_runs_at(&announcement("w", Some(BORN_MS)))
    }

    /// Lets the worker confirm the stop calls, without a run list.
    fn confirm_stops(&mut self) {
        let stop_calls: Vec<StopCall> = self
            .actions
            .iter()
            .filter_map(|action| match action {
                ExecutionAction::Stop(call) => Some(call.clone()),
                _ => None,
            })
            .collect();
        for call in stop_calls {
            let confirmed = true;
            self.send_event(ExecutionEvent::StopAnswered { call, confirmed });
        }
    }

    /// The worker's latest announcement to the entry: `None` if there was none.
    fn announced_draining(&self) -> Option<Option<bool>> {
        let mut views = self.actions.iter().rev().filter_map(|action| match action {
            ExecutionAction::Send {
                frame: AgentFrame::Worker(view),
                ..
            } => Some(view.as_ref().map(|view| view.draining)),
            _ => None,
        });
        views.next()
    }
}

/// A leaving worker executes its runs until its process ends; their tasks must not start elsewhere
/// before.
#[test]
fn a_run_of_a_leaving_worker_is_reported_after_its_confirmed_stop() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    assert_eq!(test.outcomes(), []);
    assert_eq!(test.stop_count(), 1);
    assert!(!test.may_acknowledge_leave());
    test.confirm_stops();
    assert_eq!(test.outcomes(), []);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert_eq!(test.outcomes(), [RunOutcome::Stopped]);
    assert_eq!(test.announced_draining(), Some(None));
    assert!(test.may_acknowledge_leave());
}

/// A run that ends just before its stop must not be started again.
#[test]
fn a_run_of_a_leaving_worker_that_ends_is_done() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    test.send_run_list(latest_poll(), &[], &[listed_end(1)]);
    assert_eq!(test.outcomes(), [RunOutcome::Done]);
    assert!(test.may_acknowledge_leave());
}

/// The worker may execute a start call that is in flight when it announces that it leaves.
#[test]
fn a_pending_run_of_a_leaving_worker_is_reported_after_its_confirmed_stop() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::Start(start_order(1)));
    let call = test.start_calls().remove(0);
    test.send_leave();
    let leave_actions = std::mem::take(&mut test.actions);
    let response = StartResponse::Accepted;
    test.send_event(ExecutionEvent::StartAnswered { call, response });
    assert_eq!(test.outcomes(), []);
    test.actions = leave_actions;
    test.confirm_stops();
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert_eq!(test.outcomes(), [RunOutcome::Stopped]);
}

/// A leaving worker that no longer responds may execute its runs until its lease has expired.
#[test]
fn runs_of_an_unreachable_leaving_worker_are_lost_with_its_lease() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    let left_at = test.now;
    while test.outcomes().is_empty() {
        assert!(!test.may_acknowledge_leave());
        test.advance(20);
        test.renew_entry_lease();
        let renews = |call: &HoldCall| call.lease_until_ms.is_some();
        assert!(!test.hold_calls().iter().any(renews));
    }
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
    let waited_ms = test.now.millis_since(left_at);
    let max_lease_ms = limits().max_lease_ms();
    assert!(waited_ms >= max_lease_ms, "{waited_ms} ms");
    assert!(waited_ms <= max_lease_ms + 60, "{waited_ms} ms");
    assert!(test.may_acknowledge_leave());
}

macro_rules! ignored_announcements {
    ($($(#[$doc:meta])* $name:ident: $worker:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut test = TestExecutor::ready();
                test.start_task(1, StartResponse::Accepted);
                let worker = $worker;
                test.send_event(ExecutionEvent::WorkerLeaving(worker.clone()));
                assert_eq!((test.stop_count(), test.outcomes()), (0, Vec::new()));
                assert!(!test.executor.has_runs_at(&worker));
                test.send_frame(EntryFrame::Start(start_order(2)));
                assert_eq!(test.start_calls().len(), 1);
            }
        )+
    };
}

ignored_announcements! {
    /// A late announcement of an earlier incarnation must not stop the runs of the current one.
    an_earlier_incarnation_that_leaves_stops_nothing: announcement("w", Some(BORN_MS - 1));
    another_worker_that_leaves_stops_nothing: announcement("v", Some(BORN_MS));
}

/// A worker that gets no acknowledgement may announce again that it leaves.
#[test]
fn a_repeated_announcement_is_acknowledged_with_the_first() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    test.send_leave();
    assert_eq!((test.stop_count(), test.outcomes()), (0, Vec::new()));
    assert!(!test.may_acknowledge_leave());
    test.send_run_list(latest_poll(), &[], &[listed_end(1)]);
    assert!(test.may_acknowledge_leave());
    test.send_leave();
    assert!(test.may_acknowledge_leave());
}

/// A heartbeat that was sent before the announcement may arrive after it.
#[test]
fn a_late_heartbeat_does_not_revive_a_leaving_worker() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    test.send_worker_heartbeat(BORN_MS, 2, false);
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::Draining)]
    );
}

/// A host without a worker must not be polled until its next worker reports.
#[test]
fn a_worker_that_has_left_is_not_polled() {
    let mut test = TestExecutor::ready();
    test.send_leave();
    assert_eq!(test.announced_draining(), Some(None));
    // The response to an earlier poll.
    test.send_run_list(latest_poll(), &[], &[]);
    assert_eq!(test.announced_draining(), None);
    for _ in 0..100 {
        test.advance(20);
        assert_eq!(test.hold_calls(), []);
    }
    test.send_worker_heartbeat(BORN_MS + 1, 1, false);
    assert_eq!(test.hold_calls().len(), 1);
}

impl TestExecutor {
    /// Lets `elapsed_ms` pass while the worker lists no runs.
    fn pass_without_runs(&mut self, elapsed_ms: u64) {
        for _ in 0..elapsed_ms / 20 {
            self.advance(20);
            self.renew_entry_lease();
            for call in self.hold_calls() {
                if call.wait_ms == 0 {
                    self.send_run_list(call, &[], &[]);
                }
            }
        }
    }

    fn accepts_start(&mut self, job: u64) -> bool {
        self.send_frame(EntryFrame::Start(start_order(job)));
        self.start_calls().len() == 1
    }
}

macro_rules! reports_after_an_announcement {
    ($($(#[$doc:meta])* $name:ident: $wait_ms:expr, $sequence:expr, $draining:expr => $serves:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut test = TestExecutor::ready();
                let worker = announcement("w", None);
                test.send_event(ExecutionEvent::WorkerLeaving(worker));
                assert_eq!(test.announced_draining(), Some(None));
                test.pass_without_runs($wait_ms);
                test.send_worker_heartbeat(BORN_MS, $sequence, $draining);
                assert!(!test.accepts_start(1), "it serves before its run list");
                test.pass_without_runs(200);
                assert_eq!(test.accepts_start(2), $serves);
            }
        )+
    };
}

reports_after_an_announcement! {
    /// An announcement of another sender left the worker unused for good.
    a_worker_that_reports_after_an_announcement_serves_again: 1_020, 2, false => true;
    /// The report may have been sent before the announcement.
    a_report_within_the_timeout_after_an_announcement_proves_nothing: 1_000, 2, false => false;
    an_older_report_after_an_announcement_proves_nothing: 1_020, 1, false => false;
    a_draining_worker_that_was_announced_to_leave_is_not_used: 1_020, 2, true => false;
}

/// A worker that ends after a delayed report must not get starts.
#[test]
fn a_worker_that_reports_after_an_announcement_must_respond_first() {
    let mut test = TestExecutor::ready();
    test.send_leave();
    test.pass_without_runs(1_020);
    test.send_worker_heartbeat(BORN_MS, 2, false);
    for _ in 0..50 {
        test.advance(20);
        test.renew_entry_lease();
        assert!(!test.accepts_start(1));
    }
}

/// The report of a worker that stays says nothing about the stops of its runs.
#[test]
fn a_report_after_an_announcement_frees_no_run() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_leave();
    for _ in 0..52 {
        test.advance(20);
        test.renew_entry_lease();
        for call in test.hold_calls() {
            if call.wait_ms == 0 {
                test.send_run_list(call, &[run(1)], &[]);
            }
        }
        assert_eq!(test.outcomes(), []);
    }
    test.send_worker_heartbeat(BORN_MS, 2, false);
    assert_eq!(test.outcomes(), []);
    test.advance(100);
    assert_eq!(test.stop_count(), 1);
    test.confirm_stops();
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert_eq!(test.outcomes(), [RunOutcome::Stopped]);
    test.renew_entry_lease();
    assert!(test.accepts_start(2));
}

/// Each repeated announcement counts: reports from before it may arrive for a second.
#[test]
fn a_report_after_a_repeated_announcement_may_be_late() {
    let mut test = TestExecutor::ready();
    test.send_leave();
    test.pass_without_runs(1_020);
    test.send_leave();
    test.send_worker_heartbeat(BORN_MS, 2, false);
    test.pass_without_runs(200);
    assert!(!test.accepts_start(1));
}
