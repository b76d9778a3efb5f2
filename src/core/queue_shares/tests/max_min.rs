//! Tests of the weighted max-min division.

use {
    crate::core::queue_shares::max_min::{ShareClaim, max_min_shares},
    proptest::prelude::*,
};

fn claim(demand: f64, weight: f64) -> ShareClaim {
    ShareClaim { demand, weight }
}

macro_rules! division_cases {
    ($($(#[$doc:meta])* $name:ident: $capacity:expr, [$($claim:expr),*] => $shares:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let claims = [$($claim),*].map(|(demand, weight)| claim(demand, weight));
                assert_eq!(max_min_shares($capacity, &claims), $shares);
            }
        )+
    };
}

division_cases! {
    a_single_claim_gets_all: 10.0, [(99.0, 0.5)] => [10.0];
    demands_that_fit_are_met: 10.0, [(3.0, 1.0), (6.0, 0.5)] => [3.0, 6.0];
    equal_demands_get_their_weights: 9.0, [(99.0, 1.0), (99.0, 0.5)] => [6.0, 3.0];
    /// The queue that demands less than its weight leaves the rest to the others.
    unused_shares_go_to_the_others: 10.0, [(1.0, 1.0), (99.0, 1.0), (99.0, 0.5)] => [1.0, 6.0, 3.0];
    nothing_is_divided_without_capacity: 0.0, [(1.0, 1.0), (2.0, 1.0)] => [0.0, 0.0];
}

proptest! {
    /// No queue starves, none gets more than it demands, and nothing is left while one demands more.
    #[test]
    fn each_claim_gets_its_weighted_share_or_its_demand(
        demands in proptest::collection::vec((0.0..1e6_f64, 0_u32..9), 1..17),
        capacity in 1.0..1e6_f64,
    ) {
        let claims: Vec<ShareClaim> = demands
            .iter()
            .map(|(demand, priority)| ShareClaim::new(*demand, *priority))
            .collect();
        let weights: f64 = claims.iter().map(|claim| claim.weight).sum();
        let shares = max_min_shares(capacity, &claims);
        for (claim, share) in claims.iter().zip(&shares) {
            let weighted = capacity * claim.weight / weights;
            prop_assert!(*share >= claim.demand.min(weighted) * 0.999_999);
            prop_assert!(*share <= claim.demand);
        }
        let demanded: f64 = claims.iter().map(|claim| claim.demand).sum();
        let given: f64 = shares.iter().sum();
        prop_assert!((given - demanded.min(capacity)).abs() <= capacity * 1e-6);
    }
}
