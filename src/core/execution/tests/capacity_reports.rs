//! Tests of capacity reports and of the heartbeats that they replace.

use super::*;

/// Counts the frames of this kind to a session.
fn count_frames(
    test: &TestExecutor,
    recipient: SessionId,
    is_kind: fn(&AgentFrame) -> bool,
) -> usize {
    let frames = test.actions.iter().filter(|action| match action {
        ExecutionAction::Send { session, frame } => *session == recipient && is_kind(frame),
        _ => false,
    });
    frames.count()
}

/// Reports of each start and end to each entry must not dominate the cost of an agent.
#[test]
fn other_entries_get_few_reports_while_another_task_fits() {
    let mut test = TestExecutor::ready();
    test.open_session_of("other", SessionId(2));
    test.start_task(1, StartResponse::Accepted);
    let mut reports = 0;
    let mut sequence = 0;
    for job in 2..52 {
        sequence += 1;
        let end = ListedEnd {
            sequence,
            ..listed_end(job - 1)
        };
        let call = HoldCall {
            sequence: 1_000 + sequence,
            ..latest_poll()
        };
        test.now = test.now.plus_ms(10);
        test.send_run_list(call, &[], &[end]);
        reports += count_frames(&test, SessionId(2), |frame| {
            matches!(frame, AgentFrame::Room { .. })
        });
        test.send_entry_heartbeat();
        test.now = test.now.plus_ms(10);
        test.send_frame(EntryFrame::Start(start_order(job)));
        reports += count_frames(&test, SessionId(2), |frame| {
            matches!(frame, AgentFrame::Room { .. })
        });
        let call = test.start_calls().remove(0);
        let response = StartResponse::Accepted;
        test.send_event(ExecutionEvent::StartAnswered { call, response });
    }
    assert!((8..=12).contains(&reports), "{reports} reports in a second");
}

/// An entry must not send starts to a full worker for long, nor pass over one with a free slot.
#[test]
fn other_entries_soon_learn_whether_another_task_fits() {
    let mut test = TestExecutor::ready();
    test.open_session_of("other", SessionId(2));
    test.start_task(1, StartResponse::Accepted);
    test.advance(20);
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert_eq!(reported_cores(&test, SessionId(2)), Some(0));
    let call = test.start_calls().remove(0);
    let response = StartResponse::Accepted;
    test.send_event(ExecutionEvent::StartAnswered { call, response });
    test.advance(20);
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    assert_eq!(reported_cores(&test, SessionId(2)), Some(1));
}

/// A capacity report already contains a timestamp for the entry to echo.
#[test]
fn heartbeats_are_not_answered_right_after_a_report() {
    let mut test = TestExecutor::ready();
    let answers = |test: &TestExecutor| {
        count_frames(test, SESSION, |frame| {
            matches!(frame, AgentFrame::Beat { .. })
        })
    };
    test.now = test.now.plus_ms(146);
    test.send_entry_heartbeat();
    assert_eq!(answers(&test), 1);
    test.now = test.now.plus_ms(126);
    test.send_frame(EntryFrame::Start(start_order(1)));
    test.now = test.now.plus_ms(20);
    test.send_entry_heartbeat();
    assert_eq!(answers(&test), 0);
    test.now = test.now.plus_ms(146);
    test.send_entry_heartbeat();
    assert_eq!(answers(&test), 1);
}

/// A worker's room may shrink while it runs; nothing must start beyond its newest report.
#[test]
fn a_worker_that_shrinks_gets_no_start_beyond_its_capacity() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let mut smaller = view(BORN_MS, false);
    smaller.capacity.cpu_milli = 1_000;
    test.send_event(ExecutionEvent::Heartbeat {
        view: smaller,
        sequence: 2,
    });
    test.advance(20);
    assert_eq!(reported_cores(&test, SESSION), Some(0));
    test.send_frame(EntryFrame::Start(start_order(2)));
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::NoRoom)]
    );
    test.send_worker_heartbeat(BORN_MS, 3, false);
    test.send_frame(EntryFrame::Start(start_order(3)));
    assert_eq!(test.start_calls().len(), 1);
}
