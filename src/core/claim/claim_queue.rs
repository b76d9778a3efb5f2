//! Which claims are written together, and what their writes' outcomes mean.

use {
    super::{Claim, ClaimFault, ClaimId, write_budget::WriteBudget},
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
    Failed(ClaimId, ClaimFault),
}

/// Claims that wait for a write, and the one write that is under way.
///
/// Guards the platform's table, which takes several hundred writes a second from everybody:
/// claims that arrive during a write go into the next one together, writes are paced, and what
/// can't be written in time is refused at once.
#[derive(Debug)]
pub(crate) struct ClaimQueue {
    waiting: VecDeque<Claim>,
    under_way: Vec<Claim>,
    limit: usize,
    budget: WriteBudget,
}

impl ClaimQueue {
    /// An empty queue of at most `limit` claims, for `writes_per_s` writes a second.
    pub(crate) fn new(limit: usize, writes_per_s: u32) -> Self {
        Self {
            waiting: VecDeque::new(),
            under_way: Vec::new(),
            limit,
            budget: WriteBudget::new(writes_per_s),
        }
    }

    /// Takes a claim in, or refuses it at once.
    pub(crate) fn ask(&mut self, now: Instant, claim: Claim) -> Vec<ClaimAction> {
        if self.waiting.len() >= self.limit {
            return vec![ClaimAction::Failed(claim.id, ClaimFault::QueueFull)];
        }
        self.waiting.push_back(claim);
        self.pump(now)
    }

    /// Starts the next write if the budget allows it.
    pub(crate) fn pump(&mut self, now: Instant) -> Vec<ClaimAction> {
        if !self.under_way.is_empty() || self.waiting.is_empty() || !self.budget.take(now) {
            return Vec::new();
        }
        let mut rows: BTreeMap<String, Claim> = BTreeMap::new();
        while rows.len() < MAX_BATCH
            && let Some(claim) = self.waiting.pop_front()
        {
            // The same key twice: the first one's ticket is bound, the second finds it.
            rows.entry(claim.row.clone())
                .or_insert_with(|| claim.clone());
            self.under_way.push(claim);
        }
        vec![ClaimAction::Write(rows.into_values().collect())]
    }

    /// Takes in what became of the write under way.
    pub(crate) fn written(&mut self, now: Instant, outcome: &WriteOutcome) -> Vec<ClaimAction> {
        let claims = std::mem::take(&mut self.under_way);
        let mut actions = match outcome {
            WriteOutcome::Committed => committed(claims),
            WriteOutcome::Conflict(row) => self.conflicted(claims, row),
            WriteOutcome::Unavailable => claims
                .into_iter()
                .map(|claim| ClaimAction::Failed(claim.id, ClaimFault::StoreUnavailable))
                .collect(),
            WriteOutcome::Unknown => claims.into_iter().map(read).collect(),
        };
        actions.extend(self.pump(now));
        actions
    }

    fn conflicted(&mut self, claims: Vec<Claim>, row: &str) -> Vec<ClaimAction> {
        let (bound, free): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|claim| claim.row == row);
        for claim in free.into_iter().rev() {
            self.waiting.push_front(claim);
        }
        bound.into_iter().map(read).collect()
    }
}

fn committed(claims: Vec<Claim>) -> Vec<ClaimAction> {
    let mut bound: BTreeMap<String, Ticket> = BTreeMap::new();
    claims
        .into_iter()
        .map(|claim| {
            let ticket = *bound.entry(claim.row).or_insert(claim.fresh);
            ClaimAction::Bound(claim.id, ticket)
        })
        .collect()
}

fn read(claim: Claim) -> ClaimAction {
    ClaimAction::Read(claim.id, claim.row)
}
