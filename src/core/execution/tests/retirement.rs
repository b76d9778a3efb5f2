//! Tests of the retirement of sessions.

use super::*;

/// An agent that no longer needs a session must tell the entry to start tasks elsewhere, finish the
/// session's runs, and only then close it.
#[test]
fn a_retired_session_closes_after_its_runs() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_event(ExecutionEvent::RetireSession { session: SESSION });
    let is_draining = |action: &ExecutionAction| match action {
        ExecutionAction::Send {
            frame: AgentFrame::Worker(Some(view)),
            ..
        } => view.draining,
        _ => false,
    };
    assert!(test.actions.iter().any(is_draining));
    let closed = ExecutionAction::Close { session: SESSION };
    for _ in 0..15 {
        test.now = test.now.plus_ms(100);
        test.send_entry_heartbeat();
        for call in test.hold_calls() {
            test.send_run_list(call, &[run(1)], &[]);
        }
        test.advance(0);
        assert!(!test.actions.contains(&closed), "its run has not finished");
    }
    let end = ListedEnd {
        sequence: 1,
        task: run(1).task.name(),
        number: 1,
        end: RunOutcome::Done,
    };
    test.now = test.now.plus_ms(100);
    test.send_entry_heartbeat();
    let call = test.hold_calls().remove(0);
    test.send_run_list(call, &[], &[end]);
    assert_eq!(test.outcomes(), [RunOutcome::Done]);
    test.advance(0);
    assert!(test.actions.contains(&closed));
}
