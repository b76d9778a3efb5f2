//! Tests of claims against a simulated table.

#![allow(clippy::panic, reason = "a test that cannot go on must fail loudly")]

use {
    super::{Claim, ClaimAction, ClaimError, ClaimId, ClaimQueue, WriteOutcome},
    crate::core::{
        ticket::{AgentId, GrantSecret, Ticket},
        time::Instant,
    },
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestCaseResult},
    },
    std::collections::BTreeMap,
};

const ENTRIES: usize = 2;

/// How the store handles the next write.
#[derive(Debug, Clone, Copy)]
enum StoreBehavior {
    Normal,
    ReplyLost,
    RequestLost,
    Down,
}

/// One step of a simulation.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit {
        entry: usize,
        key: u8,
    },
    Write {
        entry: usize,
        behavior: StoreBehavior,
    },
    Advance {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let behavior = prop_oneof![
        4 => Just(StoreBehavior::Normal),
        1 => Just(StoreBehavior::ReplyLost),
        1 => Just(StoreBehavior::RequestLost),
        1 => Just(StoreBehavior::Down),
    ];
    prop_oneof![
        4 => (0..ENTRIES, 0..6_u8).prop_map(|(entry, key)| Step::Submit { entry, key }),
        4 => (0..ENTRIES, behavior).prop_map(|(entry, behavior)| Step::Write { entry, behavior }),
        2 => (1..300_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Two entries that share one table.
#[derive(Debug)]
struct Simulation {
    now: Instant,
    queues: Vec<ClaimQueue>,
    writes: Vec<Option<Vec<Claim>>>,
    table: BTreeMap<String, Ticket>,
    submitted: BTreeMap<ClaimId, String>,
    replies: BTreeMap<ClaimId, Vec<Result<Ticket, ClaimError>>>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(1_000),
            queues: (0..ENTRIES).map(|_| ClaimQueue::new(8, 20)).collect(),
            writes: vec![None; ENTRIES],
            table: BTreeMap::new(),
            submitted: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    fn submit(&mut self, entry: usize, key: u8) {
        let id = ClaimId(self.submitted.len() as u64);
        let row = format!("key {key}");
        self.submitted.insert(id, row.clone());
        let claim = claim(id, &row);
        let actions = self.queues[entry].submit(self.now, claim);
        self.execute(entry, actions);
    }

    fn execute(&mut self, entry: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Write(claims) => {
                    assert!(self.writes[entry].is_none(), "one write at a time");
                    self.writes[entry] = Some(claims);
                }
                ClaimAction::Read(id, row) => {
                    let found = self.table.get(&row).copied();
                    self.reply(id, found.ok_or(ClaimError::StoreUnavailable));
                }
                ClaimAction::Bound(id, ticket) => self.reply(id, Ok(ticket)),
                ClaimAction::Failed(id, error) => self.reply(id, Err(error)),
            }
        }
    }

    fn reply(&mut self, id: ClaimId, reply: Result<Ticket, ClaimError>) {
        self.replies.entry(id).or_default().push(reply);
    }

    fn write(&mut self, entry: usize, behavior: StoreBehavior) {
        let Some(claims) = self.writes[entry].take() else {
            return;
        };
        let outcome = match behavior {
            StoreBehavior::Down => WriteOutcome::Unavailable,
            StoreBehavior::RequestLost => WriteOutcome::Unknown,
            StoreBehavior::Normal => self.insert(&claims),
            StoreBehavior::ReplyLost => {
                self.insert(&claims);
                WriteOutcome::Unknown
            }
        };
        let actions = self.queues[entry].handle_write_outcome(self.now, &outcome);
        self.execute(entry, actions);
    }

    /// Inserts all rows, or none if one of them exists.
    fn insert(&mut self, claims: &[Claim]) -> WriteOutcome {
        if let Some(conflicting) = claims.iter().find(|c| self.table.contains_key(&c.row)) {
            return WriteOutcome::Conflict(conflicting.row.clone());
        }
        let rows = claims
            .iter()
            .map(|claim| (claim.row.clone(), claim.new_ticket));
        self.table.extend(rows);
        WriteOutcome::Committed
    }

    fn finish_writes(&mut self) {
        for _ in 0..400 {
            for entry in 0..ENTRIES {
                self.write(entry, StoreBehavior::Normal);
                let actions = self.queues[entry].start_next_write(self.now);
                self.execute(entry, actions);
            }
            self.now = self.now.plus_ms(50);
        }
    }

    fn check(&self) -> TestCaseResult {
        for (id, row) in &self.submitted {
            let replies = self.replies.get(id).map_or(&[][..], Vec::as_slice);
            prop_assert_eq!(replies.len(), 1, "{:?} has one reply", id);
            if let Ok(ticket) = replies[0] {
                prop_assert_eq!(self.table.get(row), Some(&ticket), "one key, one ticket");
            }
        }
        Ok(())
    }
}

fn claim(id: ClaimId, row: &str) -> Claim {
    let counter = u32::try_from(id.0).unwrap_or(u32::MAX);
    let grant = GrantSecret::new([3; 32]).grant(AgentId(1), 0, 1_000_000);
    Claim {
        id,
        row: row.to_owned(),
        new_ticket: grant.ticket(counter),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Two entries claim the same keys while the store loses requests and replies. If one key were
    /// bound to two tickets, its job would run twice.
    #[test]
    fn one_key_is_bound_to_one_ticket(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in steps {
            match step {
                Step::Submit { entry, key } => simulation.submit(entry, key),
                Step::Write { entry, behavior } => simulation.write(entry, behavior),
                Step::Advance { ms } => {
                    simulation.now = simulation.now.plus_ms(ms);
                    for entry in 0..ENTRIES {
                        let actions = simulation.queues[entry].start_next_write(simulation.now);
                        simulation.execute(entry, actions);
                    }
                }
            }
        }
        simulation.finish_writes();
        simulation.check()?;
    }
}

/// A burst of claims must not exceed the write budget and overload the platform's table.
#[test]
fn claims_are_batched_and_the_excess_is_refused() {
    let mut queue = ClaimQueue::new(100, 20);
    let mut writes = 0;
    let mut refused = 0;
    let mut bound = 0;
    for millisecond in 0..1_000 {
        let now = Instant::from_millis(1_000 + millisecond);
        let mut actions = Vec::new();
        for number in 0..5 {
            let id = ClaimId(millisecond * 5 + number);
            actions.extend(queue.submit(now, claim(id, &format!("key {}", id.0))));
        }
        actions.extend(queue.start_next_write(now));
        while let Some(action) = actions.pop() {
            match action {
                ClaimAction::Write(claims) => {
                    assert!(claims.len() <= 64);
                    writes += 1;
                    actions.extend(queue.handle_write_outcome(now, &WriteOutcome::Committed));
                }
                ClaimAction::Bound(..) => bound += 1,
                ClaimAction::Failed(_, error) => {
                    assert_eq!(error, ClaimError::QueueFull);
                    refused += 1;
                }
                ClaimAction::Read(..) => panic!("nothing conflicts"),
            }
        }
    }
    assert!(writes <= 22, "{writes} writes in a second");
    assert!(bound > 1_000 && bound + refused <= 5_000, "{bound} bound");
    assert!(refused > 0, "the rest is refused at once");
}
