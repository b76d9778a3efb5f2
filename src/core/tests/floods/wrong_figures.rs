//! Tests of floods in which an entry or some agents report wrong figures.

use {
    super::{
        flood_load::Received,
        flood_site::{FloodSite, Tampering, WORKERS},
        one_queue::{ENTRY_SHARES, queues, urgent_flood},
    },
    crate::core::link::{AgentFrame, EntryFrame},
};

/// What the clients of the queues at their usual demand received in these seconds.
fn received_by_others(tampering: Tampering, seconds: std::ops::Range<u64>) -> Received {
    let mut site = FloodSite::new(4, &queues(), &ENTRY_SHARES, urgent_flood, tampering);
    site.run(13_500);
    site.received(1, seconds.clone())
        .plus(site.received(2, seconds))
}

/// A wrong demand must not reduce the levels of the queue for longer than it is reported.
#[test]
fn an_entry_with_wrong_demands_does_no_lasting_harm() {
    let tampering = Tampering {
        of_entry: |ms, entry, frame| {
            if let EntryFrame::Beat { queue_demands, .. } = frame
                && entry == 0
                && ms < 7_000
            {
                for demand in queue_demands {
                    demand.demand_ppm = u32::MAX;
                }
            }
        },
        ..Tampering::NONE
    };
    let received = received_by_others(tampering, 8..12);
    assert!(received.lost() <= 0.03, "{received:?}");
}

/// The median of the levels must not follow a minority of the agents.
#[test]
fn agents_with_wrong_levels_do_no_harm() {
    let tampering = Tampering {
        of_agent: |_, agent, frame| {
            if let AgentFrame::Beat { queue_levels, .. } = frame
                && agent < WORKERS / 3
            {
                for level in queue_levels {
                    level.level_permille = u16::from(&*level.queue == "queue-0") * 1_000;
                }
            }
        },
        ..Tampering::NONE
    };
    let received = received_by_others(tampering, 6..12);
    assert!(received.lost() <= 0.03, "{received:?}");
}

/// Levels that no longer arrive must not hold an entry at an earlier level; it uses its own shares,
/// which are less exact.
#[test]
fn outdated_levels_are_not_used() {
    let tampering = Tampering {
        of_agent: |ms, _, frame| {
            if let AgentFrame::Beat { queue_levels, .. } = frame
                && ms < 5_000
            {
                for level in queue_levels {
                    level.level_permille = 0;
                }
            } else if let AgentFrame::Beat { queue_levels, .. } = frame {
                queue_levels.clear();
            }
        },
        ..Tampering::NONE
    };
    let received = received_by_others(tampering, 8..12);
    assert!(received.lost() <= 0.03, "{received:?}");
}
