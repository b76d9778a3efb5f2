//! Random and chosen interleavings of the model.

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

/// Runs the model over many cases; returns the grants seen, with and without the platform.
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

/// An operator takes a zone out and a task starts there long after. Any order of readings,
/// digests, lost replies, outages, pauses, kills, removals and arrivals of entries may lead
/// there; the cause would be an entry that grants permits on what is no longer so.
#[test]
fn no_permit_is_granted_two_seconds_after_a_closing_took_effect() {
    let (grants, without_platform) = run_cases(12_000, steps());
    // The model must not pass because nobody ever grants anything.
    assert!(grants > 100_000, "{grants} grants");
    assert!(
        without_platform > 10_000,
        "{without_platform} grants without the platform"
    );
}

/// An entry is cut from the platform, its row is removed, a new one joins and closes the zone:
/// the one cut off would keep it open, as it does not know whom to ask.
#[test]
fn no_late_permit_while_entries_join_and_are_removed() {
    let (grants, without_platform) = run_cases(60_000, membership_changes());
    assert!(grants > 100_000, "{grants} grants");
    assert!(
        without_platform > 10_000,
        "{without_platform} grants without the platform"
    );
}

/// Names each story and runs its steps on a model that begins with `entries` entries.
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
    /// An entry is cut from the platform; its row is removed, a new entry does not know of it
    /// and closes the zone. The one cut off must have lost its right before its row could go.
    a_removed_entry_without_the_platform_grants_nothing: 1 [
        Step::Advance { ms: 5_500 },
        Step::Advance { ms: 1_500 },
        Step::RemoveRow { entry: 0 },
        Step::Join,
        Step::PollNow { entry: 1 },
        Step::ChangeNow { entry: 1, open: CLOSE },
        Step::Advance { ms: 2_500 },
    ];
    /// An entry was frozen until its row was removed, with an operator's closing in hand. Nobody
    /// asks it any more, so the closing must not take effect: the write checks the row.
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
    /// A new entry registers and makes itself known while another one's scan, which missed it,
    /// is under way; then it closes the zone and the platform goes down.
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
