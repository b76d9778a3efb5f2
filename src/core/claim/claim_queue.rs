//! Batches claims into writes and evaluates the outcomes of the writes.

use {
    super::{Claim, ClaimError, ClaimId, write_budget::WriteBudget},
    crate::core::{ticket::Ticket, time::Instant},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of rows in one write.
const MAX_BATCH: usize = 64;

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// All rows were written.
    Committed,
    /// Nothing was written because this row exists.
    Conflict(String),
    /// The store rejected the write or was unreachable; nothing was written.
    Unavailable,
    /// No reply was received; the rows may have been written or may be written shortly.
    Unknown,
}

/// An action for the caller to execute.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClaimAction {
    /// Insert these rows in one transaction, if none of them exists.
    Write(Vec<Claim>),
    /// Read the row and reply to the request with the ticket it contains.
    Read(ClaimId, String),
    /// The key is bound to this ticket.
    Bound(ClaimId, Ticket),
    /// The key was not bound.
    Failed(ClaimId, ClaimError),
}

/// Claims that wait for a write, and the one write in flight.
///
/// The platform's table accepts only several hundred writes per second from all its clients.
/// Claims that arrive during a write are batched into the next one, writes are rate-limited, and
/// claims that cannot be written in time are refused at once.
#[derive(Debug)]
pub(crate) struct ClaimQueue {
    waiting: VecDeque<Claim>,
    in_flight: Vec<Claim>,
    max_waiting: usize,
    budget: WriteBudget,
}

impl ClaimQueue {
    /// Creates a queue of at most `max_waiting` claims, with `writes_per_s` writes per second.
    pub(crate) fn new(max_waiting: usize, writes_per_s: u32) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            max_waiting,
            budget: WriteBudget::new(writes_per_s),
        }
    }

    /// Enqueues a claim, or refuses it if the queue is full.
    pub(crate) fn submit(&mut self, now: Instant, claim: Claim) -> Vec<ClaimAction> {
        if self.waiting.len() >= self.max_waiting {
            return vec![ClaimAction::Failed(claim.id, ClaimError::QueueFull)];
        }
        self.waiting.push_back(claim);
        self.start_next_write(now)
    }

    /// Starts the next write if none is in flight and the budget allows it.
    pub(crate) fn start_next_write(&mut self, now: Instant) -> Vec<ClaimAction> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() || !self.budget.try_acquire(now) {
            return Vec::new();
        }
        let mut rows: BTreeMap<String, Claim> = BTreeMap::new();
        while rows.len() < MAX_BATCH
            && let Some(claim) = self.waiting.pop_front()
        {
            // Of two claims for the same key, the first is written; the second gets its ticket.
            rows.entry(claim.row.clone())
                .or_insert_with(|| claim.clone());
            self.in_flight.push(claim);
        }
        vec![ClaimAction::Write(rows.into_values().collect())]
    }

    /// Handles the outcome of the write in flight.
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
