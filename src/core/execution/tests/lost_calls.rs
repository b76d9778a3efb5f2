//! Tests of calls to the worker without a response.

use super::*;

/// Time after which a call without a response must count as lost, in milliseconds.
const DETECTION_MS: u64 = 60;

impl TestExecutor {
    /// Lets `elapsed_ms` pass in ticks and retains all actions; the worker answers immediate polls if
    /// `responds`.
    fn pass(&mut self, elapsed_ms: u64, responds: bool, running: &[RunId]) {
        let mut all = Vec::new();
        let mut clock_ms = 1_000;
        for _ in 0..elapsed_ms / 20 {
            self.advance(20);
            clock_ms += 20;
            self.renew_entry_lease();
            let mut polls = self.hold_calls();
            polls.retain(|call| responds && call.wait_ms == 0);
            all.append(&mut self.actions);
            for poll in polls {
                self.send_run_list_at(clock_ms, poll, running, &[]);
                all.append(&mut self.actions);
            }
        }
        self.actions = all;
    }

    fn long_polls(&self) -> Vec<HoldCall> {
        let mut calls = self.hold_calls();
        calls.retain(|call| call.wait_ms > 0);
        calls
    }
}

/// A worker that no longer responded was given tasks until its lease had expired; all were lost.
#[test]
fn an_unresponsive_worker_gets_no_more_starts() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::Start(start_order(1)));
    test.pass(DETECTION_MS, false, &[]);
    assert_eq!(reported_cores(&test, SESSION), Some(0));
    let is_logged = |action: &ExecutionAction| {
        matches!(
            action,
            ExecutionAction::Log(ExecutionLogEvent::WorkerUnresponsive { runs: 1, .. })
        )
    };
    assert!(test.actions.iter().any(is_logged));
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::Unresponsive)]
    );
}

/// An unresponsive worker must be usable again with its first response.
#[test]
fn a_worker_that_responds_again_gets_starts() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.pass(300, false, &[]);
    test.pass(200, true, &[run(1)]);
    assert_eq!(reported_cores(&test, SESSION), Some(1));
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert_eq!(test.start_calls().len(), 1);
}

/// Each repeated stop of an unresponsive worker's runs opened another connection.
#[test]
fn stops_are_not_repeated_at_an_unresponsive_worker() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.pass(200, false, &[]);
    test.send_frame(EntryFrame::Stop { run: run(1) });
    assert_eq!(test.stop_count(), 1);
    test.pass(220, false, &[]);
    assert_eq!(test.stop_count(), 0);
}

/// A lost start delayed its task until the call timed out, although the worker answered others.
#[test]
fn a_lost_start_is_resolved_while_the_worker_responds() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_frame(EntryFrame::Start(start_order(2)));
    test.now = test.now.plus_ms(5);
    test.send_run_list(latest_poll(), &[run(1)], &[]);
    test.pass(DETECTION_MS, true, &[run(1)]);
    let is_repetition = |call: &StartCall| call.task == run(2).task.name() && call.token > 100;
    assert!(test.start_calls().iter().any(is_repetition));
}

/// The outcomes after a lost long poll waited for the next lease renewal until the poll timed out.
#[test]
fn a_lost_long_poll_is_replaced_once_another_call_returns_an_outcome() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.advance(120);
    let mut renewals = test.hold_calls();
    renewals.retain(|call| call.wait_ms == 0);
    test.send_run_list(renewals.remove(0), &[], &[listed_end(1)]);
    assert_eq!(test.long_polls().len(), 1);
}

/// While calls get lost, a single long poll delays the outcomes with each loss.
#[test]
fn a_second_long_poll_is_open_while_calls_get_lost() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let lost = HoldCall {
        wait_ms: 400,
        ..latest_poll()
    };
    test.send_event(ExecutionEvent::HoldAnswered {
        call: lost,
        response: HoldResponse::Unanswered,
    });
    // The failed poll has delayed the next one.
    test.pass(120, true, &[run(1)]);
    assert_eq!(test.long_polls().len(), 1);
    test.pass(1_100, true, &[run(1)]);
    let worker = test.executor.worker.as_ref().expect("a worker");
    assert_eq!(worker.wanted_long_polls(test.now), 1);
}

/// A refused connection has sent nothing: the task can start elsewhere at once.
#[test]
fn a_refused_start_has_not_started() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Refused);
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::Unresponsive)]
    );
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert!(test.start_calls().is_empty());
}

/// A worker that had refused one poll while idle was never polled again, and got no more tasks.
#[test]
fn an_unresponsive_idle_worker_is_polled_until_it_responds() {
    let mut test = TestExecutor::ready();
    let response = HoldResponse::Refused;
    let call = latest_poll();
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    let response = HoldResponse::Refused;
    let call = test.hold_calls().remove(0);
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    test.pass(120, false, &[]);
    test.pass(120, true, &[]);
    assert_eq!(reported_cores(&test, SESSION), Some(2));
}

/// The timeout of a lost start was taken for that of its repetition, and the task ran twice.
#[test]
fn the_timeout_of_a_lost_start_says_nothing_about_its_repetition() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::Start(start_order(1)));
    let lost_call = test.start_calls().remove(0);
    test.now = test.now.plus_ms(5);
    test.send_run_list(latest_poll(), &[], &[]);
    test.pass(DETECTION_MS, true, &[]);
    assert!(!test.start_calls().is_empty());
    test.send_event(ExecutionEvent::StartAnswered {
        call: lost_call,
        response: StartResponse::Unanswered,
    });
    let poll = HoldCall {
        token: 101,
        ..latest_poll()
    };
    test.send_run_list_at(2_000, poll, &[], &[]);
    assert!(test.start_calls().is_empty());
    assert!(test.outcomes().is_empty());
}
