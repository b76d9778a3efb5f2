//! Tests of levels at agents, and of their use at entries.

use {super::*, crate::core::queue_shares::DemandLevels};

/// The levels of queues `a` (priority 0), `b` (1) and `c` (2) with the sums of these demands.
fn levels(demands_ppm: &[[u32; 3]]) -> Vec<u16> {
    levels_at(&mut DemandLevels::default(), start(), demands_ppm)
}

fn levels_at(levels: &mut DemandLevels, now: Instant, demands_ppm: &[[u32; 3]]) -> Vec<u16> {
    let demands: Vec<Vec<QueueDemand>> = demands_ppm
        .iter()
        .map(|[a, b, c]| vec![demand("a", 0, *a), demand("b", 1, *b), demand("c", 2, *c)])
        .collect();
    let levels = levels.at(now, demands.iter().map(Vec::as_slice));
    levels.iter().map(|level| level.level_permille).collect()
}

macro_rules! level_cases {
    ($($(#[$doc:meta])* $name:ident: $demands:expr => $levels:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(levels(&$demands), $levels);
            }
        )+
    };
}

level_cases! {
    demands_that_fit_are_complete: [[200_000, 300_000, 300_000]] => [1_000, 1_000, 1_000];
    demands_of_entries_add_up: [[300_000, 0, 0], [900_000, 0, 0]] => [750, 1_000, 1_000];
    /// The most urgent queue floods; the others demand less than their weights.
    only_the_flooding_queue_is_reduced: [[900_000, 100_000, 80_000]; 2] => [300, 1_000, 1_000];
    /// Weights 6, 3 and 2 of 11.
    all_flooding_queues_get_their_weights: [[900_000; 3]] => [545, 272, 181];
    /// A queue that is alone gets the complete worker, which is 90% of what it demands.
    a_queue_that_is_alone_gets_all: [[0, 0, 1_000_000]] => [1_000, 1_000, 900];
    /// One entry counts with one worker at most.
    a_wrong_demand_of_an_entry_is_limited: [[u32::MAX, 0, 0], [0, 200_000, 150_000]] => [550, 1_000, 1_000];
}

/// An agent that has received a wrong demand must return to true levels with the next report.
#[test]
fn a_wrong_demand_is_gone_with_the_next_report() {
    let mut table = DemandLevels::default();
    let honest = [150_000, 150_000, 100_000];
    let wrong = [honest, [u32::MAX; 3]];
    assert_eq!(levels_at(&mut table, start(), &wrong), [426, 213, 148]);
    let later = start().plus_ms(100);
    assert_eq!(levels_at(&mut table, later, &[honest, honest]), [1_000; 3]);
}

/// A flood of queue names must not make messages large.
#[test]
fn the_number_of_levels_is_bounded() {
    let entries: Vec<Vec<QueueDemand>> = (0..10)
        .map(|entry| {
            let queues = 0..100;
            let of_entry = queues.map(|queue| demand(&format!("{entry}-{queue}"), queue, 1_000));
            of_entry.collect()
        })
        .collect();
    let mut levels = DemandLevels::default();
    let levels = levels.at(start(), entries.iter().map(Vec::as_slice));
    assert_eq!(levels.len(), 16);
}

/// The part of a queue's jobs that is within its share at a level of 400 from `agents` agents with
/// these wrong levels added.
fn accepted_with(agents: usize, wrong_levels: &[u16], age_ms: u64) -> u64 {
    let mut test = TestShares::new();
    let route = route("q", 0);
    test.flood(&[(&route, 10, 100.0)], 3_000);
    let true_levels = std::iter::repeat_n(400, agents);
    for permille in true_levels.chain(wrong_levels.iter().copied()) {
        let mut report = LevelReport::default();
        report.record(test.now, vec![level("q", permille)]);
        test.reports.push(report);
    }
    test.now = test.now.plus_ms(age_ms);
    test.flood(&[(&route, 10, 100.0)], 1_500)[0]
}

/// The queue demands a tenth of the capacity, so its own share admits all of its jobs.
#[test]
fn an_entry_uses_the_median_of_three_recent_levels_or_its_own_share() {
    let reduced = 400..=750;
    assert!(reduced.contains(&accepted_with(3, &[], 0)));
    assert!(reduced.contains(&accepted_with(3, &[0, 1_000], 0)));
    assert_eq!(accepted_with(2, &[], 0), 1_000);
    assert_eq!(accepted_with(9, &[], 2_000), 1_000);
}

/// A liar's or a suspended agent's figures must not reduce a queue.
#[test]
fn wrong_levels_of_a_minority_do_no_harm() {
    let mut test = TestShares::new();
    let route = route("q", 0);
    test.reports = (0..9).map(|_| LevelReport::default()).collect();
    for (number, report) in test.reports.iter_mut().enumerate() {
        let permille = if number < 4 { 0 } else { 1_000 };
        report.record(test.now, vec![level("q", permille)]);
    }
    assert_eq!(test.flood(&[(&route, 10, 100.0)], 1_900), [1_000]);
}

/// Agents that report many queues must not use memory without limit.
#[test]
fn a_report_is_bounded() {
    let mut report = LevelReport::default();
    let names = (0..100).map(|number| level(&format!("{number}"), 0));
    report.record(start(), names.collect());
    let reports = [&report, &report, &report];
    assert_eq!(LevelReport::median(&reports, start(), "15"), Some(0));
    assert_eq!(LevelReport::median(&reports, start(), "16"), None);
}

/// Entries of unequal demand must refuse the same part of their jobs.
#[test]
fn entries_with_one_level_mark_the_same_part_of_unequal_demands() {
    let accepted = [5.0, 20.0, 100.0].map(|per_second| {
        let mut test = TestShares::new();
        let route = route("q", 0);
        test.reports = (0..3).map(|_| LevelReport::default()).collect();
        for _ in 0..3 {
            for report in &mut test.reports {
                report.record(test.now, vec![level("q", 500)]);
            }
            test.flood(&[(&route, 100, per_second)], 1_500);
        }
        let mut within = 0;
        for _ in 0..20 {
            for report in &mut test.reports {
                report.record(test.now, vec![level("q", 500)]);
            }
            within += test.flood(&[(&route, 100, per_second)], 1_000)[0];
        }
        within / 20
    });
    assert!(
        accepted
            .iter()
            .all(|permille| (470..=530).contains(permille)),
        "{accepted:?}"
    );
}

/// The share of an entry that is alone: one queue floods, the other sends as much as usual.
#[test]
fn a_queue_within_its_own_share_loses_nothing_to_a_more_urgent_flood() {
    let mut test = TestShares::new();
    let (urgent, other) = (route("urgent", 0), route("other", 2));
    let usual = [(&urgent, 50, 80.0), (&other, 900, 2.0)];
    assert_eq!(test.flood(&usual, 3_000), [1_000, 1_000]);
    let flood = [(&urgent, 50, 800.0), (&other, 900, 2.0)];
    let accepted = test.flood(&flood, 5_000);
    assert!(accepted[0] < 400, "{accepted:?}");
    assert_eq!(accepted[1], 1_000);
    assert_eq!(test.flood(&usual, 6_000)[1], 1_000);
}
