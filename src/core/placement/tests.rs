//! Tests of the placement policies.

use {
    super::{MostFree, Placement, RunnerView, active_homes, own_runners, shortlist},
    crate::core::{message::Candidate, ticket::AgentId, time::Instant},
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
    },
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

/// Runners 0 to `count`, of which each tenth is full; the home's own ones are marked.
fn candidates(count: u64, own: &[AgentId]) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            runner: AgentId(number),
            peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            slots: 8,
            free_slots: if number % 10 == 0 { 0 } else { 8 },
            own: own.contains(&AgentId(number)),
        })
        .collect()
}

fn names(candidates: &[Candidate]) -> BTreeSet<AgentId> {
    candidates
        .iter()
        .map(|candidate| candidate.runner)
        .collect()
}

macro_rules! shortlist_cases {
    ($($name:ident: $count:literal runners => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let named = shortlist(AgentId(1), candidates($count, &[]));
                assert_eq!(names(&named).len(), named.len(), "each once");
                assert_eq!(named.len(), $expected);
            }
        )+
    };
}

shortlist_cases! {
    nobody_to_name: 0 runners => 0;
    few_runners_are_all_named: 96 runners => 96;
    many_runners_are_cut: 200 runners => 96;
    the_planned_size_costs_no_more: 1_500 runners => 96;
}

#[test]
fn a_home_is_told_of_all_its_own_runners_and_of_others_than_the_next_home() {
    let agents: Vec<AgentId> = (0..1_500).map(AgentId).collect();
    let homes = active_homes(agents.clone());
    let mut heard = BTreeSet::new();
    for home in &homes {
        let own = own_runners(*home, &homes, agents.clone());
        let named = names(&shortlist(*home, candidates(1_500, &own)));
        assert!(own.iter().all(|runner| named.contains(runner)));
        heard.insert(named);
    }
    assert_eq!(heard.len(), homes.len(), "no two homes have the same list");
}
