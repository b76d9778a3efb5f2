use super::super::{Candidate, CompletionWeight, TaskTerms};

/// Slowness of a worker at 0.55 of the normal speed.
const SLOW: f64 = 1.0 / 0.55;

fn terms(estimate_ms: u64, time_left_ms: u64) -> TaskTerms {
    TaskTerms {
        estimate_ms,
        time_left_ms,
        remote_penalty: 3.0,
    }
}

fn candidate(slowness: f64) -> Candidate {
    Candidate {
        slowness,
        is_remote: false,
        free_share: 0.5,
    }
}

fn weight(terms: TaskTerms, candidate: Candidate) -> f64 {
    match terms.weight(&candidate) {
        CompletionWeight::InTime(weight) => weight,
        CompletionWeight::NotInTime => 0.0,
    }
}

macro_rules! in_time_cases {
    ($($(#[$doc:meta])* $name:ident: $terms:expr, $candidate:expr => $is_in_time:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let terms: TaskTerms = $terms;
                let is_in_time = terms.weight(&$candidate) != CompletionWeight::NotInTime;
                assert_eq!(is_in_time, $is_in_time);
            }
        )+
    };
}

in_time_cases! {
    /// It would take 1,382 ms there.
    a_long_task_does_not_go_to_a_slow_worker: terms(760, 1_276), candidate(SLOW) => false;
    a_long_task_goes_to_a_normal_worker: terms(760, 1_276), candidate(1.0) => true;
    a_short_task_may_go_to_a_slow_worker: terms(51, 141), candidate(SLOW) => true;
    a_short_task_that_has_waited_does_not_go_to_a_slow_worker:
        terms(51, 90), candidate(SLOW) => false;
    /// A task takes three times as long if its data is on another rack.
    a_task_with_remote_data_is_late:
        terms(200, 380), Candidate { is_remote: true, ..candidate(1.0) } => false;
    a_task_without_time_left_is_late: terms(1, 0), candidate(1.0) => false;
}

/// Fast workers must stay free for long tasks and for those with little time left.
#[test]
fn a_task_with_ample_slack_prefers_slow_workers() {
    let terms = terms(60, 400);
    assert!(weight(terms, candidate(1.25)) > 1.1 * weight(terms, candidate(1.0)));
    assert!(weight(terms, candidate(1.0)) > 1.1 * weight(terms, candidate(0.8)));
}

/// Estimates are off by 40%: a task that is just in time by its estimate is often late.
#[test]
fn a_task_with_little_slack_prefers_fast_workers() {
    let terms = terms(900, 1_490);
    assert!(weight(terms, candidate(0.8)) > 2.0 * weight(terms, candidate(1.0)));
    assert!(weight(terms, candidate(1.0)) > 4.0 * weight(terms, candidate(1.25)));
}

/// Entries with old reports must not all choose the same worker.
#[test]
fn a_very_slow_worker_does_not_attract_all_tasks() {
    let terms = terms(10, 1_000);
    assert!(weight(terms, candidate(8.0)) <= 1.5 * weight(terms, candidate(1.0)));
}

#[test]
fn free_cores_count_as_before_among_equal_workers() {
    let terms = terms(60, 156);
    let empty = Candidate {
        free_share: 1.0,
        ..candidate(1.0)
    };
    assert_eq!(weight(terms, empty), 4.0 * weight(terms, candidate(1.0)));
}
