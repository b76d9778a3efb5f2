//! Tests of tasks that crash their workers.

use {
    super::*,
    crate::core::{link::NotStartedReason, work::TaskId},
};

impl TestDispatcher {
    /// The worker crashes while it runs these tasks, of which only one was started by this entry.
    fn crash(&mut self, (worker, run): (u64, RunId), tasks: Vec<TaskId>) {
        self.receive_frame(worker, AgentFrame::Crashed { tasks });
        if self.outcomes().is_empty() {
            self.end_run((worker, run), RunOutcome::Lost);
        }
    }
}

fn task(job: u64) -> TaskId {
    TaskId {
        job: JobId::of_number(job),
        step: 0,
        index: 0,
    }
}

/// A task that crashes each worker that starts it must not go through the site.
#[test]
fn a_job_fails_with_the_second_crash_under_a_task() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let first = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    dispatcher.crash(first[0], vec![task(1)]);
    let second = dispatcher.starts();
    assert_ne!(second[0].0, first[0].0);
    dispatcher.crash(second[0], vec![task(1)]);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::FailedByCrashes]);
    assert!(dispatcher.starts().is_empty());
}

/// A task that has ended without a crash is innocent; a later crash beside it must not fail its job.
#[test]
fn a_task_that_ends_is_no_longer_suspected() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let first = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    dispatcher.crash(first[0], vec![task(1)]);
    let second = dispatcher.starts();
    dispatcher.end_run(second[0], RunOutcome::Done);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Completed]);
    let mut copy = job(1, 0, vec![step(1, 50)]);
    copy.waiter = WaiterId(2);
    let third = dispatcher.submit(copy);
    dispatcher.crash(third[0], vec![task(1)]);
    assert!(!dispatcher.starts().is_empty());
}

/// A copy of a job that another entry has seen crash two workers must not crash more of them.
#[test]
fn crashes_reported_for_another_entry_count() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    for worker in [1, 2] {
        let tasks = vec![task(1)];
        dispatcher.receive_frame(worker, AgentFrame::Crashed { tasks });
    }
    assert!(dispatcher.submit(job(1, 0, vec![step(1, 50)])).is_empty());
    assert_eq!(dispatcher.outcomes(), [JobOutcome::FailedByCrashes]);
}

/// The tasks of a suspected job run one at a time, so that a second crash shows which is at fault.
#[test]
fn tasks_of_a_suspected_job_run_singly() {
    let mut dispatcher = TestDispatcher::with_workers(4);
    let starts = dispatcher.submit(job(1, 0, vec![step(2, 50)]));
    assert_eq!(starts.len(), 2);
    dispatcher.crash(starts[0], vec![starts[0].1.task]);
    assert!(dispatcher.starts().is_empty());
    dispatcher.end_run(starts[1], RunOutcome::Done);
    assert_eq!(dispatcher.starts().len(), 1);
}

/// Two suspects on one worker could not be told apart when it crashes.
#[test]
fn suspects_run_on_different_workers() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let first = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    let second = dispatcher.submit(job(2, 0, vec![step(1, 50)]));
    let tasks = vec![task(1), task(2)];
    dispatcher.receive_frame(1, AgentFrame::Crashed { tasks });
    dispatcher.report_capacity(1, 2, 2);
    dispatcher.end_run(first[0], RunOutcome::Lost);
    assert_eq!(dispatcher.starts().len(), 1);
    dispatcher.end_run(second[0], RunOutcome::Lost);
    assert!(dispatcher.starts().is_empty());
}

/// Not every crash can be told from a lost connection; a task whose runs are always lost must not be
/// started without limit.
#[test]
fn a_task_that_is_lost_too_often_is_given_up() {
    let mut dispatcher = TestDispatcher::with_workers(8);
    let mut starts = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    for _ in 0..3 {
        dispatcher.end_run(starts[0], RunOutcome::Lost);
        starts = dispatcher.starts();
        assert_eq!(starts.len(), 1);
    }
    dispatcher.end_run(starts[0], RunOutcome::Lost);
    let outcome = JobOutcome::GivenUp(GiveUpReason::RunsLost);
    assert_eq!(dispatcher.outcomes(), [outcome]);
}

/// Another suspect at the worker is no reason to avoid or pause it.
#[test]
fn a_start_beside_another_suspect_is_repeated_later() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let starts = dispatcher.submit(job(1, 0, vec![step(1, 50)]));
    let end = RunOutcome::NotStarted(NotStartedReason::SuspectBusy);
    dispatcher.end_run(starts[0], end);
    assert!(dispatcher.starts().is_empty());
    dispatcher.report_capacity(1, 2, 1);
    dispatcher.advance_ms(100);
    assert_eq!(dispatcher.starts().len(), 1);
}

/// A task larger than every worker would wait until its deadline passes; it must be refused at once,
/// and accepted when a worker has grown.
#[test]
fn a_task_larger_than_every_worker_is_refused_at_once() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.advance_ms(2_000);
    let large = |waiter| {
        let step = StepSpec {
            needs: needs(WORKER_CORES + 1),
            ..step(1, 50)
        };
        let mut large = job(1, 0, vec![step]);
        large.waiter = WaiterId(waiter);
        large
    };
    assert!(dispatcher.submit(large(1)).is_empty());
    let outcomes = dispatcher.outcomes();
    assert!(
        matches!(outcomes[..], [JobOutcome::NotRun { reason: RefusalReason::TooLarge, retry_after_ms }] if retry_after_ms > 0),
        "{outcomes:?}"
    );
    dispatcher.connect_with(3, WORKER_CORES + 1, 1);
    assert_eq!(dispatcher.submit(large(2)).len(), 1);
}
