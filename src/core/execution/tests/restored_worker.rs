//! Tests of a worker that has restarted while its agent was down.

use {
    super::{BORN_MS, TestExecutor, run, view},
    crate::core::execution::{ExecutionAction, ExecutionEvent, HoldResponse, ListedRun},
};

/// Answers the first poll of a restored worker with the run list of an incarnation; returns whether
/// sessions may be opened.
fn may_open_sessions(born_unix_ms: u64, running: Vec<ListedRun>) -> bool {
    let mut test = TestExecutor::without_worker();
    test.send_event(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS, false),
    });
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::RunList {
        born_unix_ms: Some(born_unix_ms),
        clock_ms: 1,
        running,
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    test.actions.contains(&ExecutionAction::StaleRunsStopped)
}

/// After a power loss of all hosts, agents would wait for the end of leases that died with the worker.
#[test]
fn a_restarted_worker_without_runs_delays_no_session() {
    assert!(may_open_sessions(BORN_MS + 1, Vec::new()));
}

/// A hello must not deny runs that an earlier process of the agent has started there.
#[test]
fn a_restarted_worker_with_runs_delays_sessions() {
    let listed = ListedRun {
        task: run(1).task.name(),
        number: 1,
    };
    assert!(!may_open_sessions(BORN_MS + 1, vec![listed]));
}

/// A late response of an earlier incarnation says nothing about the current one.
#[test]
fn the_run_list_of_an_earlier_incarnation_delays_sessions() {
    assert!(!may_open_sessions(BORN_MS - 1, Vec::new()));
}

/// The run list of a worker of another name says nothing about runs that an earlier process of the agent
/// started at the worker before it, which executes them until its lease has expired.
#[test]
fn the_run_list_of_a_replacement_delays_sessions() {
    let mut test = TestExecutor::without_worker();
    test.send_event(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS, false),
    });
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::OtherWorker;
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    let mut replacement = view(BORN_MS + 500, false);
    "x".clone_into(&mut replacement.life.id);
    test.send_event(ExecutionEvent::Heartbeat {
        view: replacement,
        sequence: 1,
    });
    let calls = test.hold_calls();
    let call = calls.into_iter().find(|call| call.worker == "x");
    let response = HoldResponse::RunList {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: Vec::new(),
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered {
        call: call.expect("a call to the replacement"),
        response,
    });
    assert!(!test.actions.contains(&ExecutionAction::StaleRunsStopped));
}

/// A stored view that was read late made the agent drop the report of the worker that had replaced it, and
/// wait for the next one.
#[test]
fn a_report_that_waits_for_its_confirmation_survives_the_restored_view() {
    let mut test = TestExecutor::without_worker();
    let mut replacement = view(BORN_MS + 500, false);
    "x".clone_into(&mut replacement.life.id);
    test.send_event(ExecutionEvent::Heartbeat {
        view: replacement,
        sequence: 1,
    });
    let call = test.hold_calls().remove(0);
    test.send_event(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS, false),
    });
    let response = HoldResponse::Refused;
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    let mut is_called = false;
    for _ in 0..20 {
        test.advance(20);
        is_called |= test.hold_calls().iter().any(|call| call.worker == "x");
    }
    assert!(is_called);
}
