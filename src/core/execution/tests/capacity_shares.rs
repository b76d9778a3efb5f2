//! Tests of the shares of a worker's capacity.

use {super::*, crate::core::execution::capacity_shares::CapacityShares, proptest::prelude::*};

fn shares(demands_milli: &[u32]) -> Vec<u16> {
    let shares = CapacityShares::new(demands_milli.iter().copied());
    let of_each = demands_milli.iter();
    of_each.map(|demand| shares.permille_of(*demand)).collect()
}

macro_rules! share_cases {
    ($($(#[$doc:meta])* $name:ident: $demands:expr => $shares:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(shares(&$demands), $shares);
            }
        )+
    };
}

share_cases! {
    entries_without_jobs_have_equal_shares: [0, 0, 0, 0] => [260; 4];
    a_single_entry_gets_all: [7] => [1_000];
    /// Two entries that serve a zone of their own have more work than three that share one.
    shares_follow_the_demand: [600, 600, 900, 900] => [200, 200, 300, 300];
    /// An entry may just have started.
    an_entry_without_jobs_gets_half_of_the_mean: [0, 1_000, 1_000] => [160, 440, 440];
}

proptest! {
    /// An entry that exaggerates its demand must not starve the others.
    #[test]
    fn no_entry_gets_less_than_a_third_of_an_equal_share(
        demands_milli in proptest::collection::vec(any::<u32>(), 1..40)
    ) {
        let equal_permille = 1_000 / demands_milli.len() as u16;
        for share in shares(&demands_milli) {
            prop_assert!(share >= equal_permille / 3, "{share} of {equal_permille}");
        }
    }
}

/// Entries of a zone with fewer entries refused jobs in a flood that others had capacity for.
#[test]
fn the_entry_with_the_larger_demand_gets_more_of_the_slots() {
    let mut test = full_worker_with_two_waiting_entries();
    let (loaded, other) = (SessionId(2), SessionId(3));
    for (session, demand_milli) in [(loaded, 3_000), (other, 1_000)] {
        let frame = heartbeat(test.now, demand_milli);
        test.send_event(ExecutionEvent::Frame { session, frame });
    }
    test.advance(30);
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    assert_eq!(reported_cores(&test, loaded), Some(1));
}
