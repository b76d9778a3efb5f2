//! Tests of the detection of worker crashes.

use super::*;

/// Lets a worker that runs a task be unresponsive until its run is lost; returns the tasks that were
/// reported as crashed under it.
fn lose_worker(test: &mut TestExecutor, response: &HoldResponse) -> Vec<TaskId> {
    test.start_task(1, StartResponse::Accepted);
    let mut crashed = Vec::new();
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
        for call in test.hold_calls() {
            let earlier_actions = std::mem::take(&mut test.actions);
            let response = response.clone();
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            test.actions.extend(earlier_actions);
        }
        crashed.extend(crashed_tasks(test));
    }
    crashed
}

/// Tasks reported as crashed to the first entry.
fn crashed_tasks(test: &TestExecutor) -> Vec<TaskId> {
    let crashed = test.actions.iter().filter_map(|action| match action {
        ExecutionAction::Send {
            session: SESSION,
            frame: AgentFrame::Crashed { tasks },
        } => Some(tasks.clone()),
        _ => None,
    });
    crashed.flatten().collect()
}

/// A host that refuses connections has no worker process any more.
#[test]
fn a_lost_worker_whose_host_refuses_connections_has_crashed() {
    let mut test = TestExecutor::ready();
    assert_eq!(
        lose_worker(&mut test, &HoldResponse::Refused),
        [run(1).task]
    );
}

/// A lost connection is not a crash; the next incarnation of the worker shows one.
#[test]
fn an_unreachable_worker_has_crashed_if_another_incarnation_follows() {
    let mut test = TestExecutor::ready();
    assert_eq!(lose_worker(&mut test, &HoldResponse::Unanswered), []);
    test.send_worker_heartbeat(BORN_MS, 2, false);
    assert_eq!(crashed_tasks(&test), []);
    test.replace_incarnation(BORN_MS + 9_000, 1);
    assert_eq!(crashed_tasks(&test), [run(1).task]);
}

/// A worker that has announced its shutdown does not crash when it goes.
#[test]
fn a_draining_worker_does_not_crash() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_worker_heartbeat(BORN_MS, 2, true);
    test.replace_incarnation(BORN_MS + 9_000, 1);
    assert_eq!(crashed_tasks(&test), []);
}

/// Beside a task that another worker has crashed under, the others are not suspected.
#[test]
fn a_known_suspect_is_blamed_alone() {
    let mut test = TestExecutor::ready();
    test.start_task(2, StartResponse::Accepted);
    let suspect = StartOrder {
        is_suspect: true,
        ..start_order(1)
    };
    test.send_frame(EntryFrame::Start(suspect));
    let call = test.start_calls().remove(0);
    let response = StartResponse::Accepted;
    test.send_event(ExecutionEvent::StartAnswered { call, response });
    test.executor.worker.as_mut().expect("worker").refused_polls = 2;
    test.executor.record_unresponsive_worker();
    test.advance(0);
    assert_eq!(crashed_tasks(&test), [run(1).task]);
}

/// A worker that was unreachable for a while has not crashed; its restart much later must not be
/// blamed on the tasks that were lost then.
#[test]
fn a_worker_that_returns_has_not_crashed() {
    let mut test = TestExecutor::ready();
    assert_eq!(lose_worker(&mut test, &HoldResponse::Unanswered), []);
    test.send_run_list(latest_poll(), &[], &[]);
    assert!(test.executor.announced_worker().is_some());
    test.replace_incarnation(BORN_MS + 60_000, 1);
    assert_eq!(crashed_tasks(&test), []);
}

/// The report of another incarnation shows no crash: it may come from another sender.
#[test]
fn an_unconfirmed_incarnation_shows_no_crash() {
    let mut test = TestExecutor::ready();
    assert_eq!(lose_worker(&mut test, &HoldResponse::Unanswered), []);
    test.send_worker_heartbeat(BORN_MS + 9_000, 1, false);
    assert_eq!(crashed_tasks(&test), []);
    let call = test.hold_calls().remove(0);
    test.send_run_list(call, &[], &[]);
    assert_eq!(crashed_tasks(&test), []);
}
