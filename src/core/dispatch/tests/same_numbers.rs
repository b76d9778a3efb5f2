//! Tests of jobs of different queues with the same number.

use {
    super::{TestDispatcher, job, step},
    crate::core::{
        dispatch::{DispatchAction, JobOutcome, Submission, WaiterId},
        link::{NotStartedReason, RunOutcome},
        routes::Route,
        work::{JobId, QueueId},
    },
    std::sync::Arc,
};

/// Number of the jobs.
const NUMBER: u64 = 7;

/// A job of a queue with this path prefix.
fn job_of(waiter: u64, path_prefix: &str, tasks: u16) -> Submission {
    let submission = job(NUMBER, 0, vec![step(tasks, 50)]);
    let route = Route {
        name: format!("queue-{path_prefix}"),
        path_prefix: path_prefix.to_owned(),
        ..Route::clone(&submission.route)
    };
    Submission {
        waiter: WaiterId(waiter),
        id: JobId {
            queue: QueueId::new(&route.host, path_prefix),
            number: submission.id.number,
        },
        route: Arc::new(route),
        ..submission
    }
}

fn replies(dispatcher: &TestDispatcher) -> Vec<(u64, JobOutcome)> {
    let replies = dispatcher.actions.iter().filter_map(|action| match action {
        DispatchAction::Reply { waiter, outcome } => Some((waiter.0, *outcome)),
        _ => None,
    });
    replies.collect()
}

/// A job was answered with the outcome of another queue's job.
#[test]
fn each_job_gets_its_own_outcome() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let first = dispatcher.submit(job_of(1, "/shares/", 1));
    let second = dispatcher.submit(job_of(2, "/rents/", 2));
    assert_eq!((first.len(), second.len()), (1, 2));
    dispatcher.end_run(first[0], RunOutcome::Done);
    assert_eq!(replies(&dispatcher), [(1, JobOutcome::Completed)]);
    dispatcher.end_run(second[0], RunOutcome::Done);
    assert_eq!(replies(&dispatcher), []);
    dispatcher.end_run(second[1], RunOutcome::Done);
    assert_eq!(replies(&dispatcher), [(2, JobOutcome::Completed)]);
}

/// A copy that arrives after its path was moved to another route and service must not run again.
#[test]
fn a_copy_joins_its_job_after_its_path_was_moved() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(job_of(1, "/shares/", 1));
    let mut copy = job_of(2, "/shares/", 1);
    copy.route = Arc::new(Route {
        name: "moved".to_owned(),
        service: "rents".to_owned(),
        ..Route::clone(&copy.route)
    });
    assert_eq!(dispatcher.submit(copy), []);
    dispatcher.end_run(starts[0], RunOutcome::Done);
    let completed = JobOutcome::Completed;
    assert_eq!(replies(&dispatcher), [(1, completed), (2, completed)]);
}

/// A task whose name is in use at one worker must not wait there while another worker is free.
#[test]
fn a_task_whose_name_is_in_use_starts_elsewhere() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let (first, run) = dispatcher.submit(job_of(1, "/rents/", 1))[0];
    let in_use = RunOutcome::NotStarted(NotStartedReason::NameInUse);
    dispatcher.end_run((first, run), in_use);
    dispatcher.advance_ms(100);
    let starts = dispatcher.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].0, first);
}
