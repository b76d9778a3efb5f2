//! Tests of ejection and probation.

use {
    super::{
        EjectionReason::{self, Failing, Slow},
        HealthSample, RunnerHealth,
    },
    crate::core::time::Instant,
};

/// Records samples 10 ms apart (`g`: success, `s`: slow, `f`: failed); returns the last result.
fn health_after(samples: &str) -> (RunnerHealth, Instant, Option<EjectionReason>) {
    let mut health = RunnerHealth::default();
    let mut now = Instant::from_millis(1_000);
    let mut ejected = None;
    for sample in samples.chars() {
        now = now.plus_ms(10);
        let sample = match sample {
            's' => HealthSample::Slow,
            'f' => HealthSample::Failed,
            _ => HealthSample::Success,
        };
        ejected = health.record(now, sample);
    }
    (health, now, ejected)
}

macro_rules! health_cases {
    ($($name:ident: $samples:literal => $reason:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(health_after($samples).2, $reason);
            }
        )+
    };
}

health_cases! {
    three_consecutive_failures_eject: "fff" => Some(Failing);
    a_success_resets_the_failure_count: "ffgff" => None;
    three_consecutive_slow_tasks_eject: "sss" => Some(Slow);
    two_slow_tasks_do_not_eject: "ssgss" => None;
    results_during_an_ejection_do_not_eject_again: "ffff" => None;
}

/// A failure on probation must double the ejection; three successes must end the probation.
#[test]
fn an_ejected_runner_returns_to_service_through_probation() {
    let (mut health, now, _) = health_after("fff");
    assert_eq!(health.max_tasks(now.plus_ms(999)), 0);
    let probation = now.plus_ms(1_000);
    assert_eq!(health.max_tasks(probation), 1);
    assert_eq!(
        health.record(probation, HealthSample::Failed),
        Some(Failing)
    );
    assert!(health.is_ejected(probation.plus_ms(1_999)));
    let second_probation = probation.plus_ms(2_000);
    for _ in 0..3 {
        assert_eq!(health.max_tasks(second_probation), 1);
        assert_eq!(health.record(second_probation, HealthSample::Success), None);
    }
    assert_eq!(health.max_tasks(second_probation), u16::MAX);
}
