//! The demand queue against a naive version: a plain list that is scanned.

use {
    super::DemandQueue,
    crate::core::{ticket::AgentId, time::Instant},
    proptest::prelude::{Just, Strategy, any, prop_assert_eq, prop_oneof, proptest},
};

#[derive(Debug, Clone)]
enum Step {
    Set {
        home: u64,
        waited_ms: u64,
        tasks: u16,
    },
    Forget {
        home: u64,
    },
    Offer,
    Take {
        home: u64,
    },
    Wait {
        ms: u64,
    },
}

/// Homes with (since, tasks), and one entry for each held slot with its end.
#[derive(Debug, Default)]
struct NaiveQueue {
    demands: Vec<(Instant, u64, u16)>,
    holds: Vec<(u64, Instant)>,
}

impl NaiveQueue {
    fn offer(&mut self, now: Instant) -> Option<u64> {
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

    fn take(&mut self, home: u64) -> bool {
        let position = self.holds.iter().position(|hold| hold.0 == home);
        position.map(|at| self.holds.remove(at)).is_some()
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5u64, 0..500u64, 0..4u16).prop_map(|(home, waited_ms, tasks)| Step::Set {
            home,
            waited_ms,
            tasks
        }),
        (0..5u64).prop_map(|home| Step::Forget { home }),
        Just(Step::Offer),
        Just(Step::Offer),
        (0..5u64).prop_map(|home| Step::Take { home }),
        any::<u8>().prop_map(|ms| Step::Wait { ms: u64::from(ms) }),
    ]
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn demand_queue_agrees_with_a_scanned_list(steps in proptest::collection::vec(step(), 0..60)) {
        let mut queue = DemandQueue::default();
        let mut naive = NaiveQueue::default();
        let mut now = Instant::from_millis(10_000);
        for step in steps {
            match step {
                Step::Set { home, waited_ms, tasks } => {
                    let since = Instant::from_millis(now.millis_since(Instant::default()) - waited_ms);
                    queue.set(AgentId(home), since, tasks);
                    naive.demands.retain(|demand| demand.1 != home);
                    if tasks > 0 {
                        naive.demands.push((since, home, tasks));
                    }
                }
                Step::Forget { home } => {
                    queue.forget(AgentId(home));
                    naive.demands.retain(|demand| demand.1 != home);
                    naive.holds.retain(|hold| hold.0 != home);
                }
                Step::Offer => {
                    prop_assert_eq!(queue.offer(now), naive.offer(now).map(AgentId));
                }
                Step::Take { home } => {
                    prop_assert_eq!(queue.take_hold(AgentId(home)), naive.take(home));
                }
                Step::Wait { ms } => {
                    now = now.plus_ms(ms);
                    queue.expire(now);
                    naive.holds.retain(|hold| now < hold.1);
                }
            }
            prop_assert_eq!(usize::from(queue.held()), naive.holds.len());
        }
    }
}
