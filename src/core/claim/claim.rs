//! One key to be bound.

use crate::core::ticket::Ticket;

/// Names a request that waits for its key to be bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClaimId(pub(crate) u64);

/// A key that its table row shall bind to a freshly minted ticket, unless it is bound already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Who waits.
    pub(crate) id: ClaimId,
    /// Key of the row.
    pub(crate) row: String,
    /// The ticket to bind.
    pub(crate) new_ticket: Ticket,
}

/// Why a key was not bound; the claim itself started nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// More keys wait than the write budget can bind in time.
    QueueFull,
    /// The store refused the write, or it can't be told what it did.
    StoreUnavailable,
}
