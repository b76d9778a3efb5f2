//! Tests of the rate limit of log lines.

use {super::line_budget::LineBudget, crate::ports::LogPriority};

/// A burst of routine lines must not displace the line of a failure.
#[test]
fn routine_lines_are_dropped_before_notable_ones() {
    let mut budget = LineBudget::default();
    while budget.try_consume(0, LogPriority::Routine, 400) {}
    assert!(budget.try_consume(0, LogPriority::Notable, 400));
}

#[test]
fn the_bucket_refills_over_time() {
    let mut budget = LineBudget::default();
    while budget.try_consume(0, LogPriority::Notable, 400) {}
    assert!(!budget.try_consume(1, LogPriority::Notable, 400));
    assert!(budget.try_consume(1_000, LogPriority::Notable, 400));
}

#[test]
fn dropped_lines_are_reported_once_a_second() {
    let mut budget = LineBudget::default();
    budget.record_dropped("job_taken");
    budget.record_dropped("job_taken");
    let dropped = budget.drain_dropped(1_000).expect("dropped lines");
    assert_eq!(dropped.get("job_taken"), Some(&2));
    budget.record_dropped("job_taken");
    assert_eq!(budget.drain_dropped(1_500), None);
    assert!(budget.drain_dropped(2_000).is_some());
}
