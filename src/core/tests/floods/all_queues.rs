//! Tests of floods of all queues.

use super::{
    flood_load::Received,
    flood_site::{CORES, FloodSite, Tampering},
    one_queue::{ENTRY_SHARES, queues},
};

/// Part of the capacity that the shares add up to.
const SHARED_CAPACITY: f64 = 0.9;
/// Part of the clients at each entry.
const UNEQUAL_ENTRIES: [f64; 4] = [0.15, 0.20, 0.25, 0.40];
const FLOOD: std::ops::Range<u64> = 6..14;

fn run_flood() -> FloodSite {
    let factor = |ms, _| if ms < 5_000 { 1.0 } else { 3.0 };
    let mut site = FloodSite::new(3, &queues(), &ENTRY_SHARES, factor, Tampering::NONE);
    site.run(15_500);
    site
}

/// Under strict priority the least urgent queue got nothing.
#[test]
fn flooding_queues_get_their_weighted_shares() {
    let site = run_flood();
    let seconds = (FLOOD.end - FLOOD.start) as f64;
    for (queue, load) in queues().iter().enumerate() {
        let received = site.received(queue, FLOOD);
        let cores = (received.in_time + received.late) as f64 * load.core_seconds() / seconds;
        let part = cores / CORES;
        let share = [6.0, 3.0, 2.0][queue] / 11.0 * SHARED_CAPACITY;
        assert!(
            (0.85..=1.15).contains(&(part / share)),
            "queue {queue}: {part:.3} for {share:.3}"
        );
    }
}

/// Each entry had an admission threshold of its own, so clients of one entry were refused more often
/// than those of another.
#[test]
fn entries_of_unequal_demand_refuse_alike_in_a_flood() {
    let mut queues = queues();
    queues[0].cpu_milli = 1_200;
    let factor = |ms, _| if ms < 5_000 { 1.0 } else { 3.0 };
    let mut site = FloodSite::new(3, &queues, &UNEQUAL_ENTRIES, factor, Tampering::NONE);
    site.run(15_500);
    // The least urgent queue has too few jobs for a comparison of entries.
    for queue in 0..2 {
        let entries = 0..UNEQUAL_ENTRIES.len();
        let refused = entries.map(|entry| site.received_at(entry, queue, FLOOD).refused_share());
        let refused: Vec<f64> = refused.collect();
        let lowest = refused.iter().copied().fold(1.0, f64::min);
        let highest = refused.iter().copied().fold(0.0, f64::max);
        assert!(highest - lowest <= 0.05, "queue {queue}: {refused:.3?}");
    }
}

/// Refused part of the jobs of each of the two more urgent queues, by entry, in a flood in which a
/// task of the first queue needs this much.
fn refused_parts(cpu_milli: u32, entry_shares: &[f64]) -> Vec<Vec<f64>> {
    let mut queues = queues();
    queues[0].cpu_milli = cpu_milli;
    let factor = |ms, _| if ms < 5_000 { 1.0 } else { 3.0 };
    let mut site = FloodSite::new(3, &queues, entry_shares, factor, Tampering::NONE);
    site.run(15_500);
    let refused_of = |queue| {
        let entries = 0..entry_shares.len();
        let received = entries.map(|entry| site.received_at(entry, queue, FLOOD));
        received.map(Received::refused_share).collect()
    };
    (0..2).map(refused_of).collect()
}

macro_rules! entry_cases {
    ($($(#[$doc:meta])* $name:ident: $cpu_milli:expr, $entry_shares:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for (queue, refused) in refused_parts($cpu_milli, &$entry_shares).iter().enumerate() {
                    let lowest = refused.iter().copied().fold(1.0, f64::min);
                    let highest = refused.iter().copied().fold(0.0, f64::max);
                    assert!(highest - lowest <= 0.05, "queue {queue}: {refused:.3?}");
                }
            }
        )+
    };
}

entry_cases! {
    /// An entry with one or two slots at each worker got fewer than its share.
    entries_with_few_slots_refuse_alike_in_a_flood: 1_500, UNEQUAL_ENTRIES;
    /// The queue of an entry with few clients is empty at times, also in a flood.
    entries_with_few_clients_refuse_alike_in_a_flood: 1_200, [0.10, 0.20, 0.30, 0.40];
    /// Tasks of very unequal needs leave gaps in which only small ones fit.
    entries_refuse_alike_where_needs_differ_by_a_factor_of_three: 500, UNEQUAL_ENTRIES;
}
