//! Tests of the placement policies.

use {
    super::{MostFree, Placement, RunnerView, active_homes, own_runners},
    crate::core::{ticket::AgentId, time::Instant},
};

fn view(free_slots: u16, outstanding: u16) -> RunnerView {
    RunnerView {
        own: false,
        free_slots,
        outstanding,
        heard_at: Instant::from_millis(1_000),
    }
}

fn own(free_slots: u16) -> RunnerView {
    RunnerView {
        own: true,
        ..view(free_slots, 0)
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
    an_own_runner_comes_first: at 1_000 [view(5, 0), own(1)] => Some(1);
    a_full_own_runner_does_not: at 1_000 [own(0), view(5, 0)] => Some(1);
}

#[test]
fn every_runner_is_some_homes_own_once() {
    let agents: Vec<AgentId> = (0..1_500).map(AgentId).collect();
    let homes = active_homes(agents.clone());
    assert_eq!(homes.len(), 250);
    let mut owned: Vec<AgentId> = homes
        .iter()
        .flat_map(|home| own_runners(*home, &homes, agents.clone()))
        .collect();
    owned.sort_unstable();
    assert_eq!(owned, agents);
}
