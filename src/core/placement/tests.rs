//! Tests of placement policies, the choice of homes and candidate lists.

use {
    super::{HomeChoice, MostFree, Placement, RunnerRing, RunnerView, active_homes},
    crate::core::{message::Candidate, ticket::AgentId, time::Instant},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
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
        last_report_at: Instant::from_millis(1_000),
    }
}

fn own_view(free_slots: u16) -> RunnerView {
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
    no_runner_is_chosen_from_none: at 1_000 [] => None;
    most_free_slots_are_preferred: at 1_000 [view(1, 0), view(5, 0), view(2, 0)] => Some(1);
    full_runners_are_not_chosen: at 1_000 [view(0, 3), view(0, 0)] => None;
    a_full_runner_is_not_chosen_when_its_report_is_old: at 9_000 [view(0, 3), view(0, 0)] => None;
    an_own_runner_is_preferred: at 1_000 [view(5, 0), own_view(1)] => Some(1);
    a_full_own_runner_is_not_preferred: at 1_000 [own_view(0), view(5, 0)] => Some(1);
}

#[test]
fn every_runner_belongs_to_exactly_one_home() {
    let homes = active_homes((0..1_500).map(AgentId).collect());
    assert_eq!(homes.len(), 250);
    let ring = RunnerRing::new(homes.clone(), candidates(1_500));
    let mut own_runners: Vec<AgentId> = homes
        .iter()
        .flat_map(|home| ring.shortlist(*home))
        .filter(|candidate| candidate.own)
        .map(|candidate| candidate.runner)
        .collect();
    own_runners.sort_unstable();
    assert_eq!(own_runners, (0..1_500).map(AgentId).collect::<Vec<_>>());
}

/// Runners from 0 to `count`, exclusive; every tenth is full.
fn candidates(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            runner: AgentId(number),
            peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            slots: 8,
            free_slots: if number % 10 == 0 { 0 } else { 8 },
            own: false,
        })
        .collect()
}

fn runner_ids(candidates: &[Candidate]) -> BTreeSet<AgentId> {
    candidates
        .iter()
        .map(|candidate| candidate.runner)
        .collect()
}

fn choice_of(count: u64) -> (HomeChoice, Vec<AgentId>) {
    let homes: Vec<AgentId> = (0..count).map(AgentId).collect();
    let mut choice = HomeChoice::default();
    choice.refresh(Instant::from_millis(1_000), homes.clone());
    (choice, active_homes(homes))
}

#[test]
fn the_list_of_homes_is_refreshed_after_an_interval() {
    let (choice, _) = choice_of(12);
    assert!(HomeChoice::default().is_stale(Instant::from_millis(1_000)));
    assert!(!choice.is_stale(Instant::from_millis(1_049)));
    assert!(choice.is_stale(Instant::from_millis(1_050)));
}

/// A failed active home must not be tried again, and standby homes must replace the active ones
/// before a job is rejected.
#[test]
fn failed_homes_are_skipped_and_standby_homes_replace_them() {
    let (mut choice, active) = choice_of(12);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let picked = choice.pick(&mut rng, Some).expect("a home");
        assert!(active.contains(&picked));
    }
    let standby_only = |home: AgentId| (!active.contains(&home)).then_some(home);
    let picked = choice.pick(&mut rng, standby_only).expect("a home");
    assert!(!active.contains(&picked));
    let none: Option<AgentId> = choice.pick(&mut rng, |_| None);
    assert_eq!(none, None);
    assert_eq!(choice.pick(&mut rng, Some), None, "all homes were dropped");
}

macro_rules! shortlist_cases {
    ($($name:ident: $count:literal runners => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let ring = RunnerRing::new(Vec::new(), candidates($count));
                let shortlist = ring.shortlist(AgentId(1));
                assert_eq!(runner_ids(&shortlist).len(), shortlist.len(), "no duplicates");
                assert_eq!(shortlist.len(), $expected);
            }
        )+
    };
}

shortlist_cases! {
    no_runners_give_an_empty_list: 0 runners => 0;
    few_runners_are_all_listed: 96 runners => 96;
    many_runners_are_truncated: 200 runners => 96;
    a_list_of_1_500_runners_is_truncated: 1_500 runners => 96;
}

#[test]
fn homes_receive_different_shortlists() {
    let homes = active_homes((0..1_500).map(AgentId).collect());
    let ring = RunnerRing::new(homes.clone(), candidates(1_500));
    let lists: BTreeSet<_> = homes
        .iter()
        .map(|home| runner_ids(&ring.shortlist(*home)))
        .collect();
    assert_eq!(lists.len(), homes.len(), "no two homes have the same list");
}
