//! Tests of floods of a single queue.

use {
    super::{
        flood_load::{FloodQueue, Received},
        flood_site::{CORES, FloodSite, Tampering},
    },
    std::ops::Range,
};

/// Three quarters of the capacity; the less urgent queues are within their weighted shares.
pub(super) fn queues() -> [FloodQueue; 3] {
    let queue = |priority, tasks, estimate_ms, part_of_capacity: f64| {
        let mut queue = FloodQueue {
            priority,
            tasks,
            estimate_ms,
            cpu_milli: 1_500,
            per_second: 0.0,
        };
        queue.per_second = part_of_capacity * CORES / queue.core_seconds();
        queue
    };
    [
        queue(0, 8, 60, 0.40),
        queue(1, 2, 200, 0.20),
        queue(2, 4, 900, 0.12),
    ]
}

pub(super) const ENTRY_SHARES: [f64; 3] = [0.22, 0.33, 0.45];

fn run(seed: u64, factor: fn(u64, usize) -> f64, until_ms: u64) -> FloodSite {
    let mut site = FloodSite::new(seed, &queues(), &ENTRY_SHARES, factor, Tampering::NONE);
    site.run(until_ms);
    site
}

/// The most urgent queue floods from second 5 to 12.
pub(super) fn urgent_flood(ms: u64, queue: usize) -> f64 {
    match (5_000..12_000).contains(&ms) && queue == 0 {
        true => 3.0,
        false => 1.0,
    }
}

/// What the clients of the queues at their usual demand received in these seconds.
fn received_beside_urgent_flood(seconds: Range<u64>) -> Received {
    let mut received = Received::default();
    for seed in 1..=2 {
        let site = run(seed, urgent_flood, 14_000);
        for queue in 1..3 {
            received = received.plus(site.received(queue, seconds.clone()));
        }
        let flooding = site.received(0, 6..12);
        assert!(flooding.in_time > 0 && flooding.refused_share() > 0.3);
    }
    received
}

/// Under strict priority a flood of the most urgent queue took all capacity from the others.
#[test]
fn queues_at_their_usual_demand_lose_nothing_to_a_lasting_urgent_flood() {
    let received = received_beside_urgent_flood(6..12);
    assert!(received.lost() <= 0.02, "{received:?}");
}

/// The same from the start of the flood, when the entries have not noticed it yet.
#[test]
fn queues_at_their_usual_demand_lose_nothing_at_the_onset_of_an_urgent_flood() {
    let received = received_beside_urgent_flood(5..12);
    assert!(received.lost() <= 0.02, "{received:?}");
}

/// A queue that is alone uses the capacity that the others leave, and they get it back as soon as
/// the lent runs end, which takes less than the slack of their jobs.
#[test]
fn lent_capacity_is_returned_within_a_run() {
    let factor = |ms, queue| match (queue, ms) {
        (0, _) => 3.0,
        (1, 6_000..) => 1.0,
        _ => 0.0,
    };
    let site = run(1, factor, 9_000);
    let urgent = site.received(0, 3..6);
    let used_cores = (urgent.in_time + urgent.late) as f64 * queues()[0].core_seconds() / 3.0;
    assert!(used_cores > 0.75 * CORES, "{used_cores} cores: {urgent:?}");
    let returned = site.received(1, 6..8);
    assert!(returned.lost() <= 0.05, "{returned:?}");
}

/// A queue that changes between complete and reduced must not flood the log.
#[test]
fn level_changes_are_logged_once_a_second_at_most() {
    let factor = |ms: u64, queue| match (queue, ms / 300 % 2) {
        (0, 0) => 4.0,
        _ => 1.0,
    };
    let site = run(1, factor, 8_000);
    assert!(!site.level_lines.is_empty());
    for (index, (at_ms, entry, queue)) in site.level_lines.iter().enumerate() {
        let earlier = site.level_lines.iter().take(index);
        let mut of_queue = earlier.filter(|line| (line.1, &line.2) == (*entry, queue));
        assert!(of_queue.all(|line| at_ms - line.0 >= 1_000));
    }
}
