//! Tests of jobs that their clients cancel.

use {
    super::{TestDispatcher, job, step},
    crate::core::{
        dispatch::{DispatchEvent, JobOutcome, Submission, WaiterId},
        link::RunOutcome,
        work::{JobId, StepSpec},
    },
};

/// A job whose second step depends on the first one.
fn two_steps(waiter: u64) -> Submission {
    let second = StepSpec {
        after: vec![0],
        ..step(2, 50)
    };
    Submission {
        waiter: WaiterId(waiter),
        ..job(1, 0, vec![step(2, 50), second])
    }
}

impl TestDispatcher {
    fn cancel(&mut self, number: u64) {
        let id = JobId::of_number(number);
        self.send_event(DispatchEvent::Cancel { id });
    }
}

/// The tasks of a cancelled job ran on, and its next step started.
#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing_more() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(two_steps(1));
    dispatcher.cancel(1);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
    assert_eq!(dispatcher.stops(), 2);
    // The stops may come too late.
    for start in starts {
        dispatcher.end_run(start, RunOutcome::Done);
        assert!(dispatcher.starts().is_empty());
    }
    dispatcher.advance_ms(500);
    assert!(dispatcher.starts().is_empty() && dispatcher.outcomes().is_empty());
}

/// A copy that was under way while the job was cancelled must not run.
#[test]
fn late_and_held_copies_of_a_cancelled_job_do_not_run() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(two_steps(1));
    dispatcher.send_event(DispatchEvent::ClientGone {
        waiter: WaiterId(1),
    });
    assert!(dispatcher.submit(two_steps(2)).is_empty());
    dispatcher.cancel(1);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
    for start in starts {
        dispatcher.end_run(start, RunOutcome::Stopped);
        assert!(dispatcher.starts().is_empty());
    }
    assert!(dispatcher.submit(two_steps(3)).is_empty());
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
}

/// A job that this entry doesn't have may be submitted after its cancellation.
#[test]
fn an_unknown_job_is_not_cancelled() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    assert!(!dispatcher.dispatcher.can_cancel(JobId::of_number(1)));
    dispatcher.cancel(1);
    assert_eq!(dispatcher.submit(two_steps(1)).len(), 2);
    assert!(dispatcher.dispatcher.can_cancel(JobId::of_number(1)));
}
