//! Tests of claims against a naive table in one map.

#![allow(clippy::panic, reason = "a test that cannot go on must fail loudly")]

use {
    super::{Claim, ClaimAction, ClaimFault, ClaimId, ClaimQueue, WriteOutcome},
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

/// What the platform does with the next call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Normal,
    ReplyLost,
    RequestLost,
    Down,
}

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Step {
    Ask { entry: usize, key: u8 },
    Write { entry: usize, fate: Fate },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Normal),
        1 => Just(Fate::ReplyLost),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::Down),
    ];
    prop_oneof![
        4 => (0..ENTRIES, 0..6_u8).prop_map(|(entry, key)| Step::Ask { entry, key }),
        4 => (0..ENTRIES, fate).prop_map(|(entry, fate)| Step::Write { entry, fate }),
        2 => (1..300_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Two entries and one table; `bound` is the naive model: one map from key to ticket.
#[derive(Debug)]
struct World {
    now: Instant,
    queues: Vec<ClaimQueue>,
    writes: Vec<Option<Vec<Claim>>>,
    table: BTreeMap<String, Ticket>,
    asked: BTreeMap<ClaimId, String>,
    replies: BTreeMap<ClaimId, Vec<Result<Ticket, ClaimFault>>>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(1_000),
            queues: (0..ENTRIES).map(|_| ClaimQueue::new(8, 20)).collect(),
            writes: vec![None; ENTRIES],
            table: BTreeMap::new(),
            asked: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    fn ask(&mut self, entry: usize, key: u8) {
        let id = ClaimId(self.asked.len() as u64);
        let row = format!("key {key}");
        self.asked.insert(id, row.clone());
        let claim = claim(id, &row);
        let actions = self.queues[entry].ask(self.now, claim);
        self.carry_out(entry, actions);
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Write(claims) => {
                    assert!(self.writes[entry].is_none(), "one write at a time");
                    self.writes[entry] = Some(claims);
                }
                ClaimAction::Read(id, row) => {
                    let found = self.table.get(&row).copied();
                    self.reply(id, found.ok_or(ClaimFault::StoreUnavailable));
                }
                ClaimAction::Bound(id, ticket) => self.reply(id, Ok(ticket)),
                ClaimAction::Failed(id, fault) => self.reply(id, Err(fault)),
            }
        }
    }

    fn reply(&mut self, id: ClaimId, reply: Result<Ticket, ClaimFault>) {
        self.replies.entry(id).or_default().push(reply);
    }

    fn write(&mut self, entry: usize, fate: Fate) {
        let Some(claims) = self.writes[entry].take() else {
            return;
        };
        let outcome = match fate {
            Fate::Down => WriteOutcome::Unavailable,
            Fate::RequestLost => WriteOutcome::Unknown,
            Fate::Normal => self.insert(&claims),
            Fate::ReplyLost => {
                self.insert(&claims);
                WriteOutcome::Unknown
            }
        };
        let actions = self.queues[entry].written(self.now, &outcome);
        self.carry_out(entry, actions);
    }

    /// The table's transaction: all rows, or none if one is there.
    fn insert(&mut self, claims: &[Claim]) -> WriteOutcome {
        if let Some(taken) = claims.iter().find(|c| self.table.contains_key(&c.row)) {
            return WriteOutcome::Conflict(taken.row.clone());
        }
        let rows = claims.iter().map(|claim| (claim.row.clone(), claim.fresh));
        self.table.extend(rows);
        WriteOutcome::Committed
    }

    fn run_out(&mut self) {
        for _ in 0..400 {
            for entry in 0..ENTRIES {
                self.write(entry, Fate::Normal);
                let actions = self.queues[entry].pump(self.now);
                self.carry_out(entry, actions);
            }
            self.now = self.now.plus_ms(50);
        }
    }

    fn check(&self) -> TestCaseResult {
        for (id, row) in &self.asked {
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
        fresh: grant.ticket(counter),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// A bank sends its key through two entries while the platform loses replies and requests and
    /// is down now and then. If the two came away with different tickets, the share would be paid
    /// twice.
    #[test]
    fn one_key_ends_at_one_ticket(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            match step {
                Step::Ask { entry, key } => world.ask(entry, key),
                Step::Write { entry, fate } => world.write(entry, fate),
                Step::Advance { ms } => {
                    world.now = world.now.plus_ms(ms);
                    for entry in 0..ENTRIES {
                        let actions = world.queues[entry].pump(world.now);
                        world.carry_out(entry, actions);
                    }
                }
            }
        }
        world.run_out();
        world.check()?;
    }
}

/// A burst of claims meets a budget of 20 writes a second. Without the budget each claim would be
/// a write of its own, and the platform's table would be slow for everybody.
#[test]
fn claims_share_writes_and_the_rest_is_refused_at_once() {
    let mut queue = ClaimQueue::new(100, 20);
    let mut writes = 0;
    let mut refused = 0;
    let mut bound = 0;
    for millisecond in 0..1_000 {
        let now = Instant::from_millis(1_000 + millisecond);
        let mut actions = Vec::new();
        for number in 0..5 {
            let id = ClaimId(millisecond * 5 + number);
            actions.extend(queue.ask(now, claim(id, &format!("key {}", id.0))));
        }
        actions.extend(queue.pump(now));
        while let Some(action) = actions.pop() {
            match action {
                ClaimAction::Write(claims) => {
                    assert!(claims.len() <= 64);
                    writes += 1;
                    actions.extend(queue.written(now, &WriteOutcome::Committed));
                }
                ClaimAction::Bound(..) => bound += 1,
                ClaimAction::Failed(_, fault) => {
                    assert_eq!(fault, ClaimFault::QueueFull);
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
