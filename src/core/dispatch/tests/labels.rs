//! Tests of jobs whose steps require a label.

use {
    super::{TestDispatcher, job, step},
    crate::core::{
        dispatch::{JobOutcome, RefusalReason, Submission, WaiterId},
        work::StepSpec,
    },
};

/// More jobs than tasks that are examined in one placement.
const UNSERVEABLE_JOBS: u64 = 30;
/// The label of the first worker.
const KNOWN_LABEL: &str = "rack-1";

fn job_with_label(number: u64, label: &str) -> Submission {
    let step = StepSpec {
        required_label: Some(label.to_owned()),
        ..step(1, 50)
    };
    job(number, 0, vec![step])
}

fn settled_dispatcher() -> TestDispatcher {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.advance_ms(2_000);
    dispatcher
}

/// Jobs with a label that no worker has kept all others from starting until their deadline.
#[test]
fn jobs_with_an_unknown_label_hold_up_no_others() {
    let mut dispatcher = settled_dispatcher();
    for number in 1..=UNSERVEABLE_JOBS {
        dispatcher.submit(job_with_label(number, "rack-9"));
        let outcomes = dispatcher.outcomes();
        assert!(
            matches!(outcomes[..], [JobOutcome::NotRun { reason: RefusalReason::NoMatchingWorker, retry_after_ms }] if retry_after_ms > 0),
            "{outcomes:?}"
        );
    }
    let served = dispatcher.submit(job(UNSERVEABLE_JOBS + 1, 0, vec![step(1, 50)]));
    assert_eq!(served.len(), 1);
}

/// A job must not run its first step if its last one can't be run.
#[test]
fn an_unknown_label_of_a_later_step_refuses_the_job() {
    let mut dispatcher = settled_dispatcher();
    let mut submission = job_with_label(1, "rack-9");
    submission.request.steps[0].after = vec![0];
    submission.request.steps.insert(0, step(1, 50));
    assert!(dispatcher.submit(submission).is_empty());
    assert_eq!(dispatcher.outcomes().len(), 1);
}

/// A job must be accepted as soon as a worker has the label.
#[test]
fn a_known_label_is_served() {
    let mut dispatcher = settled_dispatcher();
    assert_eq!(dispatcher.submit(job_with_label(1, KNOWN_LABEL)).len(), 1);
    let late = || Submission {
        waiter: WaiterId(9),
        ..job_with_label(2, "rack-3")
    };
    assert!(dispatcher.submit(late()).is_empty());
    dispatcher.connect(3);
    assert_eq!(dispatcher.submit(late()).len(), 1);
}

/// While the entry starts, workers with the label may not be known yet.
#[test]
fn a_job_is_not_refused_before_workers_are_known() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit(job_with_label(1, "rack-2"));
    assert!(dispatcher.outcomes().is_empty());
    dispatcher.connect(2);
    assert_eq!(dispatcher.starts().len(), 1);
}
