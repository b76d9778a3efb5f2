//! Tests of the placement policies.

use {
    super::{MostFree, Placement, RunnerView},
    crate::core::time::Instant,
};

fn view(free_slots: u16, outstanding: u16) -> RunnerView {
    RunnerView {
        free_slots,
        outstanding,
        heard_at: Instant::from_millis(1_000),
    }
}

macro_rules! most_free_cases {
    ($($name:ident: at $now_ms:literal [$($view:expr),*] => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut policy = MostFree::new(7);
                let chosen = policy.choose(Instant::from_millis($now_ms), &[$($view),*]);
                assert_eq!(chosen, $expected);
            }
        )+
    };
}

most_free_cases! {
    no_runner_no_choice: at 1_000 [] => None;
    most_free_wins: at 1_000 [view(1, 0), view(5, 0), view(2, 0)] => Some(1);
    full_runners_wait: at 1_000 [view(0, 3), view(0, 0)] => None;
    a_full_runner_is_not_probed_however_old_its_report: at 9_000 [view(0, 3), view(0, 0)] => None;
}
