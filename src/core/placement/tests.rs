//! Tests of the placement policies.

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
    let homes = active_homes((0..1_500).map(AgentId).collect());
    assert_eq!(homes.len(), 250);
    let ring = RunnerRing::new(homes.clone(), candidates(1_500));
    let mut owned: Vec<AgentId> = homes
        .iter()
        .flat_map(|home| ring.shortlist(*home))
        .filter(|candidate| candidate.own)
        .map(|candidate| candidate.runner)
        .collect();
    owned.sort_unstable();
    assert_eq!(owned, (0..1_500).map(AgentId).collect::<Vec<_>>());
}

/// Runners 0 to `count`, of which each tenth is full.
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

fn names(candidates: &[Candidate]) -> BTreeSet<AgentId> {
    candidates
        .iter()
        .map(|candidate| candidate.runner)
        .collect()
}

fn choice_of(count: u64) -> (HomeChoice, Vec<AgentId>) {
    let homes: Vec<AgentId> = (0..count).map(AgentId).collect();
    let mut choice = HomeChoice::default();
    choice.renew(Instant::from_millis(1_000), homes.clone());
    (choice, active_homes(homes))
}

#[test]
fn homes_are_looked_through_anew_after_a_while() {
    let (choice, _) = choice_of(12);
    assert!(HomeChoice::default().is_stale(Instant::from_millis(1_000)));
    assert!(!choice.is_stale(Instant::from_millis(1_049)));
    assert!(choice.is_stale(Instant::from_millis(1_050)));
}

/// An active home dies and new jobs are still offered to it: the next one tried must be another,
/// and when no active home is left, those in reserve step in before anybody is refused.
#[test]
fn homes_that_give_nothing_are_passed_over_and_the_reserve_steps_in() {
    let (mut choice, active) = choice_of(12);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let picked = choice.pick(&mut rng, Some).expect("a home");
        assert!(active.contains(&picked));
    }
    let in_reserve = |home: AgentId| (!active.contains(&home)).then_some(home);
    let picked = choice.pick(&mut rng, in_reserve).expect("a home");
    assert!(!active.contains(&picked));
    let none: Option<AgentId> = choice.pick(&mut rng, |_| None);
    assert_eq!(none, None);
    assert_eq!(choice.pick(&mut rng, Some), None, "all were dropped");
}

macro_rules! shortlist_cases {
    ($($name:ident: $count:literal runners => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let ring = RunnerRing::new(Vec::new(), candidates($count));
                let named = ring.shortlist(AgentId(1));
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
fn homes_are_told_of_different_runners() {
    let homes = active_homes((0..1_500).map(AgentId).collect());
    let ring = RunnerRing::new(homes.clone(), candidates(1_500));
    let lists: BTreeSet<_> = homes
        .iter()
        .map(|home| names(&ring.shortlist(*home)))
        .collect();
    assert_eq!(lists.len(), homes.len(), "no two homes have the same list");
}
