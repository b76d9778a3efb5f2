//! Tests of when a runner is left alone and trusted again.

use {
    super::{
        EjectionReason::{self, Failing, Slow},
        HealthSample, RunnerHealth,
    },
    crate::core::time::Instant,
};

/// Feeds ends, written `g`ood, `s`low and `f`ailed, 10 ms apart; what the last one led to.
fn health_after(ends: &str) -> (RunnerHealth, Instant, Option<EjectionReason>) {
    let mut health = RunnerHealth::default();
    let mut now = Instant::from_millis(1_000);
    let mut ejected = None;
    for end in ends.chars() {
        now = now.plus_ms(10);
        let end = match end {
            's' => HealthSample::Slow,
            'f' => HealthSample::Failed,
            _ => HealthSample::Good,
        };
        ejected = health.record(now, end);
    }
    (health, now, ejected)
}

macro_rules! health_cases {
    ($($name:ident: $ends:literal => $reason:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(health_after($ends).2, $reason);
            }
        )+
    };
}

health_cases! {
    three_failures_in_a_row_are_enough: "fff" => Some(Failing);
    a_good_end_between_clears: "ffgff" => None;
    three_slow_tasks_in_a_row_are_enough: "sss" => Some(Slow);
    two_are_not: "ssgss" => None;
    what_ends_while_left_alone_counts_once: "ffff" => None;
}

/// A worker fails everything it starts. It is left alone, then tried with one task, fails it, and
/// is left alone for twice as long; mended, it is trusted after three good ends.
#[test]
fn a_runner_comes_back_by_probation() {
    let (mut health, now, _) = health_after("fff");
    assert_eq!(health.most_tasks(now.plus_ms(999)), 0);
    let probation = now.plus_ms(1_000);
    assert_eq!(health.most_tasks(probation), 1);
    assert_eq!(
        health.record(probation, HealthSample::Failed),
        Some(Failing)
    );
    assert!(health.is_ejected(probation.plus_ms(1_999)));
    let again = probation.plus_ms(2_000);
    for _ in 0..3 {
        assert_eq!(health.most_tasks(again), 1);
        assert_eq!(health.record(again, HealthSample::Good), None);
    }
    assert_eq!(health.most_tasks(again), u16::MAX);
}
