//! Tests of how many lines are written.

use {super::line_budget::LineBudget, crate::ports::LogPriority};

/// A process is flooded with jobs while one of them fails. On-call engineers look for the line of the
/// failure and must find it, although most lines of that second were dropped.
#[test]
fn routine_lines_are_dropped_before_notable_ones() {
    let mut budget = LineBudget::default();
    while budget.take(0, LogPriority::Routine, 400) {}
    assert!(budget.take(0, LogPriority::Notable, 400));
}

#[test]
fn the_bucket_fills_again_with_time() {
    let mut budget = LineBudget::default();
    while budget.take(0, LogPriority::Notable, 400) {}
    assert!(!budget.take(1, LogPriority::Notable, 400));
    assert!(budget.take(1_000, LogPriority::Notable, 400));
}

#[test]
fn what_was_dropped_is_told_once_a_second() {
    let mut budget = LineBudget::default();
    budget.drop_line("job_taken");
    budget.drop_line("job_taken");
    let told = budget.dropped_to_tell(1_000).expect("told");
    assert_eq!(told.get("job_taken"), Some(&2));
    budget.drop_line("job_taken");
    assert_eq!(budget.dropped_to_tell(1_500), None);
    assert!(budget.dropped_to_tell(2_000).is_some());
}
