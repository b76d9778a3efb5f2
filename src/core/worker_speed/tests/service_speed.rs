use super::super::ServiceSpeed;

macro_rules! comparison_cases {
    ($($(#[$doc:meta])* $name:ident: $slowness:expr => uneven $is_uneven:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let speed = ServiceSpeed::from_workers($slowness);
                assert_eq!(speed.is_uneven, $is_uneven);
            }
        )+
    };
}

comparison_cases! {
    no_workers_are_even: vec![] => uneven false;
    a_single_worker_is_even: vec![3_000] => uneven false;
    two_unequal_workers_are_uneven: vec![1_000, 1_300] => uneven true;
    a_quarter_of_slow_workers_is_uneven:
        (0..40).map(|worker| if worker % 4 == 0 { 1_800 } else { 850 }).collect() => uneven true;
    three_kinds_of_workers_are_uneven:
        (0..51).map(|worker| [800, 1_000, 1_250][worker % 3]).collect() => uneven true;
    /// A single slow worker must be recognised among many.
    a_single_slow_worker_is_uneven:
        (0..50).map(|worker| if worker == 7 { 2_000 } else { 1_000 }).collect() => uneven true;
}

/// With estimates that are all too short, every worker would look too slow for any objective.
#[test]
fn an_error_common_to_all_estimates_is_removed() {
    let speed = ServiceSpeed::from_workers(vec![2_000, 2_000, 4_000]);
    assert_eq!(speed.relative_slowness(2_000), 1.0);
    assert_eq!(speed.relative_slowness(4_000), 2.0);
}

/// Fast workers that are the majority must not make the others look slower than they are.
#[test]
fn run_times_on_a_slow_minority_are_predicted() {
    let speed = ServiceSpeed::from_workers(vec![800, 800, 800, 1_800]);
    assert_eq!(speed.relative_slowness(1_800), 1.8);
}
