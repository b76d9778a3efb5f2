//! Which claims are written together, and what their writes' outcomes mean.

use {
    super::{Claim, ClaimError, ClaimId, write_budget::WriteBudget},
    crate::core::{ticket::Ticket, time::Instant},
    std::collections::{BTreeMap, VecDeque},
};

/// Most rows of one write.
const MAX_BATCH: usize = 64;

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// All rows are bound as asked.
    Committed,
    /// Nothing was written: this row was there.
    Conflict(String),
    /// Nothing was written, or it can't be told.
    Unavailable,
    /// The reply was lost; all rows may be bound, now or in a moment.
    Unknown,
}

/// What the queue wants done.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClaimAction {
    /// Bind these rows in one transaction, if none of them is there.
    Write(Vec<Claim>),
    /// Read the row; whoever waits gets the ticket that it binds.
    Read(ClaimId, String),
    /// The key is bound to this ticket.
    Bound(ClaimId, Ticket),
    /// The key was not bound.
    Failed(ClaimId, ClaimError),
}

/// Claims that wait for a write, and the one write that is under way.
///
/// Guards the platform's table, which takes several hundred writes a second from everybody:
/// claims that arrive during a write go into the next one together, writes are paced, and what
/// can't be written in time is refused at once.
#[derive(Debug)]
pub(crate) struct ClaimQueue {
    waiting: VecDeque<Claim>,
    in_flight: Vec<Claim>,
    max_waiting: usize,
    budget: WriteBudget,
}

impl ClaimQueue {
    /// An empty queue of at most `limit` claims, for `writes_per_s` writes a second.
    pub(crate) fn new(max_waiting: usize, writes_per_s: u32) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            max_waiting,
            budget: WriteBudget::new(writes_per_s),
        }
    }

    /// Takes a claim in, or refuses it at once.
    pub(crate) fn submit(&mut self, now: Instant, claim: Claim) -> Vec<ClaimAction> {
        if self.waiting.len() >= self.max_waiting {
            return vec![ClaimAction::Failed(claim.id, ClaimError::QueueFull)];
        }
        self.waiting.push_back(claim);
        self.start_next_write(now)
    }

    /// Starts the next write if the budget allows it.
    pub(crate) fn start_next_write(&mut self, now: Instant) -> Vec<ClaimAction> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() || !self.budget.try_acquire(now) {
            return Vec::new();
        }
        let mut rows: BTreeMap<String, Claim> = BTreeMap::new();
        while rows.len() < MAX_BATCH
            && let Some(claim) = self.waiting.pop_front()
        {
            // The same key twice: the first one's ticket is bound, the second finds it.
            rows.entry(claim.row.clone())
                .or_insert_with(|| claim.clone());
            self.in_flight.push(claim);
        }
        vec![ClaimAction::Write(rows.into_values().collect())]
    }

    /// Takes in what became of the write under way.
    pub(crate) fn handle_write_outcome(
        &mut self,
        now: Instant,
        outcome: &WriteOutcome,
    ) -> Vec<ClaimAction> {
        let claims = std::mem::take(&mut self.in_flight);
        let mut actions = match outcome {
            WriteOutcome::Committed => bind_claims(claims),
            WriteOutcome::Conflict(row) => self.resolve_conflict(claims, row),
            WriteOutcome::Unavailable => claims
                .into_iter()
                .map(|claim| ClaimAction::Failed(claim.id, ClaimError::StoreUnavailable))
                .collect(),
            WriteOutcome::Unknown => claims.into_iter().map(read_action).collect(),
        };
        actions.extend(self.start_next_write(now));
        actions
    }

    fn resolve_conflict(&mut self, claims: Vec<Claim>, row: &str) -> Vec<ClaimAction> {
        let (bound, unbound): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|claim| claim.row == row);
        for claim in unbound.into_iter().rev() {
            self.waiting.push_front(claim);
        }
        bound.into_iter().map(read_action).collect()
    }
}

fn bind_claims(claims: Vec<Claim>) -> Vec<ClaimAction> {
    let mut bound: BTreeMap<String, Ticket> = BTreeMap::new();
    claims
        .into_iter()
        .map(|claim| {
            let ticket = *bound.entry(claim.row).or_insert(claim.new_ticket);
            ClaimAction::Bound(claim.id, ticket)
        })
        .collect()
}

fn read_action(claim: Claim) -> ClaimAction {
    ClaimAction::Read(claim.id, claim.row)
}
