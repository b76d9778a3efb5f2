//! Tests of recorded run times, against a sorted list.

use {
    super::RunTimes,
    proptest::prelude::{prop_assert, proptest},
};

/// A wrong declared time must not be used any longer than necessary.
#[test]
fn a_declared_time_is_used_only_until_enough_runs_are_recorded() {
    let mut times = RunTimes::default();
    assert_eq!(times.expected_ms("rent-index", 5_000), 5_000);
    for _ in 0..20 {
        times.record("rent-index", 500);
    }
    assert_eq!(times.expected_ms("rent-index", 5_000), 501);
    assert_eq!(times.expected_ms("crew-share", 70), 70);
}

#[test]
fn old_runs_are_replaced_by_recent_ones() {
    let mut times = RunTimes::default();
    for _ in 0..1_000 {
        times.record("rent-index", 1_000);
    }
    for _ in 0..20 {
        times.record("rent-index", 50);
    }
    assert_eq!(times.expected_ms("rent-index", 0), 50);
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn quantiles_agree_with_a_sorted_list(
        runs in proptest::collection::vec(1..20_000u64, 20..900),
        quantile in 0.01..0.99f64,
    ) {
        let mut times = RunTimes::default();
        for run_ms in &runs {
            times.record("s", *run_ms);
        }
        let mut sorted = runs;
        sorted.sort_unstable();
        let rank = (quantile * sorted.len() as f64).ceil() as usize;
        let expected = sorted[rank.max(1) - 1] as f64;
        let actual = times.quantile_ms("s", quantile).unwrap_or(0) as f64;
        prop_assert!((actual - expected).abs() <= expected * 0.01 + 1.0, "{actual} {expected}");
    }
}
