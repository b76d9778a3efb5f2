//! A request to bind a client's key to a ticket.

use crate::core::ticket::Ticket;

/// Identifies a request that waits for its key to be bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClaimId(pub(crate) u64);

/// Binds a key to a newly issued ticket in its table row, unless the key is bound already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) id: ClaimId,
    /// Key of the table row.
    pub(crate) row: String,
    /// The ticket to bind the key to.
    pub(crate) new_ticket: Ticket,
}

/// Why a key was not bound; no task was started for the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// More claims wait than the write budget can handle in time.
    QueueFull,
    /// Nothing was written, or the result of the write could not be determined.
    StoreUnavailable,
}
