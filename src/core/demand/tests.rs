//! Compares the demand queue with a naive list that is scanned.

use {
    super::DemandQueue,
    crate::core::{ticket::AgentId, time::Instant},
    proptest::prelude::{Just, Strategy, any, prop_assert_eq, prop_oneof, proptest},
};

#[derive(Debug, Clone)]
enum Step {
    SetDemand {
        home: u64,
        waited_ms: u64,
        tasks: u16,
    },
    RemoveHome {
        home: u64,
    },
    HoldSlot,
    ConsumeHold {
        home: u64,
    },
    Advance {
        ms: u64,
    },
}

/// Demands as (since, home, tasks); one (home, expiry) per held slot.
#[derive(Debug, Default)]
struct NaiveQueue {
    demands: Vec<(Instant, u64, u16)>,
    holds: Vec<(u64, Instant)>,
}

impl NaiveQueue {
    fn hold_slot(&mut self, now: Instant) -> Option<u64> {
        self.demands.sort();
        let first = self.demands.first_mut()?;
        let home = first.1;
        first.2 -= 1;
        self.demands.retain(|demand| demand.2 > 0);
        self.holds.push((home, now.plus_ms(100)));
        for hold in &mut self.holds {
            if hold.0 == home {
                hold.1 = now.plus_ms(100);
            }
        }
        Some(home)
    }

    fn consume_hold(&mut self, home: u64) -> bool {
        let position = self.holds.iter().position(|hold| hold.0 == home);
        position.map(|at| self.holds.remove(at)).is_some()
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5u64, 0..500u64, 0..4u16).prop_map(|(home, waited_ms, tasks)| Step::SetDemand {
            home,
            waited_ms,
            tasks
        }),
        (0..5u64).prop_map(|home| Step::RemoveHome { home }),
        Just(Step::HoldSlot),
        Just(Step::HoldSlot),
        (0..5u64).prop_map(|home| Step::ConsumeHold { home }),
        any::<u8>().prop_map(|ms| Step::Advance { ms: u64::from(ms) }),
    ]
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn demand_queue_agrees_with_a_linear_scan(steps in proptest::collection::vec(step(), 0..60)) {
        let mut queue = DemandQueue::default();
        let mut naive = NaiveQueue::default();
        let mut now = Instant::from_millis(10_000);
        for step in steps {
            match step {
                Step::SetDemand { home, waited_ms, tasks } => {
                    let since = Instant::from_millis(now.millis_since(Instant::default()) - waited_ms);
                    queue.set_demand(AgentId(home), since, tasks);
                    naive.demands.retain(|demand| demand.1 != home);
                    if tasks > 0 {
                        naive.demands.push((since, home, tasks));
                    }
                }
                Step::RemoveHome { home } => {
                    queue.remove_home(AgentId(home));
                    naive.demands.retain(|demand| demand.1 != home);
                    naive.holds.retain(|hold| hold.0 != home);
                }
                Step::HoldSlot => {
                    prop_assert_eq!(queue.hold_slot(now), naive.hold_slot(now).map(AgentId));
                }
                Step::ConsumeHold { home } => {
                    prop_assert_eq!(queue.consume_hold(AgentId(home)), naive.consume_hold(home));
                }
                Step::Advance { ms } => {
                    now = now.plus_ms(ms);
                    queue.expire_holds(now);
                    naive.holds.retain(|hold| now < hold.1);
                }
            }
            prop_assert_eq!(usize::from(queue.held()), naive.holds.len());
        }
    }
}
