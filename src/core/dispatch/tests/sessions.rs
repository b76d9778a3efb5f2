//! Tests of what allows a task to start again at an entry.

use super::*;

const BUSY: RunOutcome = RunOutcome::NotStarted(NotStartedReason::TaskBusy);

/// A copy of a job started a task elsewhere 60 ms after an agent had rejected it because a run of the
/// task, of another entry, was unfinished there.
#[test]
fn a_busy_task_starts_nowhere_else() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    let (busy, _) = starts[0];
    dispatcher.end_run(starts[0], BUSY);
    let mut orders = 0;
    for _ in 0..20 {
        dispatcher.advance_ms(20);
        for start in dispatcher.starts() {
            assert_eq!(start.0, busy);
            orders += 1;
            dispatcher.end_run(start, BUSY);
        }
    }
    assert!(orders > 0);
}

/// A start that gets lost with its session says nothing about the run of another entry that the agent
/// has named.
#[test]
fn a_busy_task_starts_nowhere_else_after_a_lost_order() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 900)]));
    let (busy, _) = starts[0];
    dispatcher.end_run(starts[0], BUSY);
    while dispatcher.starts().is_empty() {
        dispatcher.advance_ms(20);
    }
    dispatcher.send_event(DispatchEvent::LinkLost { link: LinkId(busy) });
    dispatcher.advance_ms(100);
    let hello = AgentFrame::Hello {
        agent: format!("agent-{busy}"),
        stamp_us: dispatcher.stamp_us + 1,
    };
    dispatcher.receive_frame(busy, hello);
    let mut starts = dispatcher.starts();
    for _ in 0..5 {
        dispatcher.advance_ms(20);
        starts.extend(dispatcher.starts());
    }
    assert!(starts.iter().all(|(worker, _)| *worker == busy));
}
