//! Random interleavings and fixed scenarios of the simulation.

use {
    super::{
        simulation::Simulation,
        steps::{Step, membership_changes, steps},
    },
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    std::cell::Cell,
};

/// Simulates random cases; returns the number of all grants and of those without the platform.
fn run_cases(cases: u32, steps: impl Strategy<Value = Vec<Step>>) -> (usize, usize) {
    let config = ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let totals = Cell::new((0, 0));
    TestRunner::new(config)
        .run(&(1_usize..4, steps), |(entries, steps)| {
            let mut simulation = Simulation::new(entries);
            for step in &steps {
                simulation.apply(step);
                simulation.check()?;
            }
            let (grants, without_platform) = totals.get();
            totals.set((
                grants + simulation.grants,
                without_platform + simulation.grants_without_platform,
            ));
            Ok(())
        })
        .expect("no late permit");
    totals.get()
}

/// An entry must not grant permits from an outdated configuration under any interleaving of head
/// reads, digests, lost replies, outages, pauses, kills, removals and joins.
#[test]
fn no_permit_is_granted_two_seconds_after_a_closing_took_effect() {
    let (grants, without_platform) = run_cases(12_000, steps());
    // Ensures that the simulation grants permits at all.
    assert!(grants > 100_000, "{grants} grants");
    assert!(
        without_platform > 10_000,
        "{without_platform} grants without the platform"
    );
}

/// An entry without the platform must not keep a zone open that a new entry closed after removing
/// its row.
#[test]
fn no_late_permit_while_entries_join_and_are_removed() {
    let (grants, without_platform) = run_cases(60_000, membership_changes());
    assert!(grants > 100_000, "{grants} grants");
    assert!(
        without_platform > 10_000,
        "{without_platform} grants without the platform"
    );
}

/// Generates a test per scenario, which applies its steps to a simulation of `entries` entries.
macro_rules! scenarios {
    ($($(#[$doc:meta])* $name:ident: $entries:literal [$($step:expr),+ $(,)?];)+) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut simulation = Simulation::new($entries);
            for step in [$($step),+] {
                simulation.apply(&step);
                simulation.check().expect("no late permit");
            }
            assert!(simulation.grants_without_platform > 0);
        }
    )+};
}

const CLOSE: bool = false;

scenarios! {
    /// An entry without the platform must stop granting permits before its row can be removed by
    /// an entry that then closes the zone without querying it.
    a_removed_entry_without_the_platform_grants_nothing: 1 [
        Step::Advance { ms: 5_500 },
        Step::Advance { ms: 1_500 },
        Step::RemoveRow { entry: 0 },
        Step::Join,
        Step::PollNow { entry: 1 },
        Step::ChangeNow { entry: 1, open: CLOSE },
        Step::Advance { ms: 2_500 },
    ];
    /// An entry whose row was removed is no longer queried, so its pending closing must not take
    /// effect: the write checks the row.
    a_removed_entry_cannot_change_the_configuration: 2 [
        Step::WriteRow { entry: 0, acknowledged: true },
        Step::Advance { ms: 6_500 },
        Step::WriteRow { entry: 0, acknowledged: true },
        Step::RemoveRow { entry: 1 },
        Step::PollNow { entry: 0 },
        Step::ChangeNow { entry: 1, open: CLOSE },
        Step::SetPlatformDown { down: true },
        Step::Advance { ms: 2_500 },
    ];
    /// An entry announces itself while another one's scan that missed its row is in progress, and
    /// then closes the zone just before a platform outage.
    an_entry_that_joins_during_a_scan_is_queried: 1 [
        Step::Advance { ms: 2_500 },
        Step::Poll { entry: 0 },
        Step::Progress { message: 0 },
        Step::Join,
        Step::PollNow { entry: 1 },
        Step::Advance { ms: 100 },
        Step::QueryNow { from: 1, to: 0 },
        Step::Progress { message: 0 },
        Step::Progress { message: 0 },
        Step::ChangeNow { entry: 1, open: CLOSE },
        Step::SetPlatformDown { down: true },
        Step::Advance { ms: 2_500 },
    ];
}
