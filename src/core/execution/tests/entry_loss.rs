//! Tests of runs whose entry is lost.

use {super::*, crate::standin::WorkerModel};

/// A worker whose stop calls all got lost went on with the runs of a lost entry for as long as its
/// lease was renewed, while the entry started their tasks elsewhere after its time limit.
#[test]
fn runs_of_a_lost_entry_end_with_the_lease_if_no_stop_is_confirmed() {
    let mut test = TestExecutor::without_worker();
    let mut worker = WorkerModel::new(test.now, "w".to_owned(), BORN_MS, 0, 4);
    test.send_worker_heartbeat(BORN_MS, 1, false);
    let mut holds = test.hold_calls();
    test.open_session();
    let stamped_at = test.now;
    test.send_entry_heartbeat();
    let mut is_started = false;
    while test.now.millis_since(stamped_at) <= limits().runs_stopped_after_ms() {
        for call in std::mem::take(&mut holds) {
            let response = worker.hold(test.now, &call);
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            holds.extend(test.hold_calls());
        }
        if !is_started && test.executor.announced_worker().is_some() {
            is_started = true;
            test.send_frame(EntryFrame::Start(start_order(1)));
            let call = test.start_calls().remove(0);
            let (response, _) = worker.start(test.now, &call, 5_000, RunOutcome::Done);
            test.send_event(ExecutionEvent::StartAnswered { call, response });
            holds.extend(test.hold_calls());
        }
        test.advance(10);
        holds.extend(
            test.hold_calls()
                .into_iter()
                .filter(|call| call.wait_ms == 0),
        );
        worker.advance(test.now);
    }
    assert!(is_started);
    assert!(worker.active_runs().is_empty());
}

/// An order that was under way when its session was closed must not start a task: the hello of the next
/// session denies it.
#[test]
fn a_start_on_a_closed_session_is_ignored() {
    let mut test = TestExecutor::ready();
    test.send_event(ExecutionEvent::SessionLost { session: SESSION });
    let drained = ExecutionAction::SessionDrained { session: SESSION };
    assert!(test.actions.contains(&drained));
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert!(test.start_calls().is_empty());
    test.open_session_of("entry", SessionId(2));
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert!(test.start_calls().is_empty());
}
