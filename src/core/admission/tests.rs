//! Tests of the admission decision, and of the drain rate against a naive implementation.

use {
    super::{Admission, AdmissionRequest, DrainRate, Overload},
    crate::core::time::Instant,
    proptest::prelude::{any, prop_assert, proptest},
};

/// Admission control with 100 recorded starts per second while tasks waited.
fn admission_at_100_per_s() -> Admission {
    let mut admission = Admission::new(3);
    for step in 0..200 {
        admission.record_starts(Instant::from_millis(step * 10), 1, true);
    }
    admission
}

const fn request(waiting: usize, tasks: usize, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        waiting,
        oldest_wait_ms: 0,
        tasks,
        deadline_ms,
        run_ms: 200,
    }
}

macro_rules! admission_cases {
    ($($name:ident: $waiting:literal waiting, $tasks:literal tasks, $deadline_ms:literal ms => $admitted:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let decision =
                    admission_at_100_per_s().decide(request($waiting, $tasks, $deadline_ms));
                assert_eq!(decision.is_ok(), $admitted, "{decision:?}");
            }
        )+
    };
}

admission_cases! {
    an_empty_queue_admits_whatever_the_deadline: 0 waiting, 200 tasks, 100 ms => true;
    a_wait_well_below_the_deadline_is_admitted: 50 waiting, 10 tasks, 2_000 ms => true;
    a_wait_close_to_the_deadline_is_rejected: 150 waiting, 10 tasks, 2_000 ms => false;
    the_jobs_own_tasks_count: 10 waiting, 150 tasks, 2_000 ms => false;
    a_deadline_shorter_than_a_run_is_rejected: 1 waiting, 1 tasks, 100 ms => false;
}

/// Without jitter, the clients rejected in a burst would all retry at the same time.
#[test]
fn retry_times_cover_the_excess_queue_and_are_jittered() {
    let mut admission = admission_at_100_per_s();
    let mut times: Vec<u64> = (0..50)
        .filter_map(|_| admission.decide(request(1_000, 1, 2_000)).err())
        .map(|Overload { retry_after_ms }| retry_after_ms)
        .collect();
    assert_eq!(times.len(), 50);
    assert!(
        times.iter().all(|ms| (6_800..=11_500).contains(ms)),
        "{times:?}"
    );
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 40, "{times:?}");
}

/// Nothing starts while long tasks occupy all slots; that alone must not cause rejections.
#[test]
fn long_tasks_that_fill_all_slots_are_not_an_overload() {
    let mut admission = Admission::new(3);
    for step in 0..200 {
        admission.record_starts(Instant::from_millis(step * 10), 0, true);
    }
    assert!(admission.decide(request(100, 1, 5_000)).is_ok());
}

/// A rate recorded before a zone was evacuated must not hide that tasks already wait too long.
#[test]
fn the_oldest_wait_overrides_an_outdated_rate() {
    let request = AdmissionRequest {
        oldest_wait_ms: 1_200,
        ..request(10, 1, 2_000)
    };
    assert!(admission_at_100_per_s().decide(request).is_err());
}

#[test]
fn nothing_is_rejected_before_the_rate_is_known() {
    assert!(Admission::new(1).decide(request(1_000, 1, 300)).is_ok());
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    /// The naive implementation sums the whole history, weighted by age.
    #[test]
    fn drain_rate_agrees_with_a_weighted_history(
        steps in proptest::collection::vec((1..200u64, 0..5usize, any::<bool>()), 1..80)
    ) {
        let mut rate = DrainRate::default();
        let mut history: Vec<(f64, f64)> = Vec::new();
        let mut now = Instant::from_millis(1_000);
        let mut waiting_before = false;
        for (elapsed_ms, starts, waiting) in steps {
            now = now.plus_ms(elapsed_ms);
            rate.record_starts(now, starts, waiting);
            if waiting_before {
                history.push((elapsed_ms as f64 * 1_000.0, starts as f64));
            }
            waiting_before = waiting;
        }
        let mut age_us = 0.0;
        let (mut starts, mut queued_us) = (0.0, 0.0);
        for (elapsed_us, started) in history.iter().rev() {
            let weight = (-age_us / 4_000_000.0f64).exp();
            starts += started * weight;
            queued_us += elapsed_us * weight;
            age_us += elapsed_us;
        }
        match rate.per_s() {
            None => prop_assert!(queued_us < 200_001.0 || starts < 5.001 && queued_us < 3_500_001.0),
            Some(per_s) => {
                prop_assert!((per_s - starts / queued_us * 1_000_000.0).abs() < 0.001);
            }
        }
    }
}
