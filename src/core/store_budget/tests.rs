//! Tests of the store budget.

use {
    super::{CallKind, StoreBudget, StoreRates, Urgency, store_budget::BudgetRejection},
    crate::core::time::Instant,
    proptest::{prelude::*, test_runner::RngSeed},
    std::collections::BTreeSet,
};

const RATES: StoreRates = StoreRates {
    reads_per_s: 1_000,
    writes_per_s: 200,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An entry must never make more calls than its share plus a burst of one second.
    #[test]
    fn an_entry_never_exceeds_its_share(
        intervals_us in prop::collection::vec(0_u64..20_000, 1..2_000),
        entries in 1_u64..20,
    ) {
        let mut budget = StoreBudget::new(RATES, entries, 1);
        let mut now_us = 0;
        let mut writes = 0;
        for interval_us in intervals_us {
            now_us += interval_us;
            let now = Instant::from_micros(now_us);
            writes += u64::from(budget.admit(now, CallKind::Write, Urgency::Urgent).is_ok());
            let share = RATES.writes_per_s / entries;
            prop_assert!(writes <= share + share * now_us / 1_000_000 + 1);
        }
    }
}

/// Clients' calls must not block roster writes and head reads, without which the entry can't grant
/// permits.
#[test]
fn bulk_calls_cannot_use_the_urgent_reserve() {
    let mut budget = StoreBudget::new(RATES, 2, 1);
    let admitted = (0..1_000)
        .filter(|_| budget.admit(at(0), CallKind::Read, Urgency::Bulk).is_ok())
        .count();
    assert_eq!(admitted, 375);
    assert_eq!(
        budget.admit(at(0), CallKind::Read, Urgency::Bulk),
        Err(BudgetRejection::Reads)
    );
    assert!(budget.admit(at(0), CallKind::Read, Urgency::Urgent).is_ok());
}

/// Entries must not all call the store at the same time after an outage.
#[test]
fn backoff_grows_is_jittered_and_ends_with_a_success() {
    let ends_ms: BTreeSet<u64> = (0..20)
        .map(|seed| {
            let mut budget = StoreBudget::new(RATES, 20, seed);
            for _ in 0..12 {
                budget.record_result(at(0), false);
            }
            (0..3_000)
                .find(|ms| budget.admit(at(*ms), CallKind::Read, Urgency::Bulk).is_ok())
                .expect("every backoff ends")
        })
        .collect();
    assert!(ends_ms.len() > 10, "{ends_ms:?}");
    assert!(
        ends_ms
            .iter()
            .all(|end_ms| (1_000..=2_000).contains(end_ms)),
        "{ends_ms:?}"
    );

    let mut budget = StoreBudget::new(RATES, 2, 1);
    budget.record_result(at(0), false);
    budget.record_result(at(0), false);
    assert!(budget.admit(at(0), CallKind::Read, Urgency::Bulk).is_ok());
    budget.record_result(at(0), false);
    assert_eq!(
        budget.admit(at(0), CallKind::Read, Urgency::Bulk),
        Err(BudgetRejection::Pausing)
    );
    assert!(budget.admit(at(0), CallKind::Read, Urgency::Urgent).is_ok());
    budget.record_result(at(1), true);
    assert!(budget.admit(at(1), CallKind::Read, Urgency::Bulk).is_ok());
}
