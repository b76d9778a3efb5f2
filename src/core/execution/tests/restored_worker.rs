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
        task: run(1).task,
        number: 1,
    };
    assert!(!may_open_sessions(BORN_MS + 1, vec![listed]));
}

/// A late response of an earlier incarnation says nothing about the current one.
#[test]
fn the_run_list_of_an_earlier_incarnation_delays_sessions() {
    assert!(!may_open_sessions(BORN_MS - 1, Vec::new()));
}
