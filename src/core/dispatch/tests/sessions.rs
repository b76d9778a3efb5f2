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
