//! Tests of jobs that have begun and are late.

use super::*;

/// The limit up to which a job that has not begun is worth starting: three times the objective of
/// [`begun_job`], in milliseconds.
const LATE_LIMIT_MS: u64 = 3 * 220;

fn begun_job(number: u64) -> Submission {
    job(number, 0, vec![step(1, 100)])
}

/// A late job was given up with tasks left, although workers were idle and its client still waited.
#[test]
fn a_begun_job_is_not_given_up_while_its_client_waits() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let mut starts = dispatcher.submit(begun_job(1));
    let submitted_at = dispatcher.now;
    while dispatcher.now.millis_since(submitted_at) <= LATE_LIMIT_MS {
        dispatcher.advance_ms(100);
        if dispatcher.stops() > 0 {
            dispatcher.end_run(starts[0], RunOutcome::Stopped);
            starts = dispatcher.starts();
        }
        assert!(dispatcher.outcomes().is_empty());
    }
    dispatcher.end_run(starts[0], RunOutcome::Stopped);
    assert_eq!(dispatcher.starts().len(), 1);
    assert!(dispatcher.outcomes().is_empty());
}

/// A job that can't finish before its client stops waiting would occupy a worker in vain.
#[test]
fn a_begun_job_that_cannot_finish_in_time_is_given_up() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let starts = dispatcher.submit(begun_job(1));
    dispatcher.advance_ms(2_950);
    dispatcher.end_run(starts[0], RunOutcome::Stopped);
    assert_eq!(
        dispatcher.outcomes(),
        [JobOutcome::GivenUp(GiveUpReason::DeadlinePassed)]
    );
}
