//! Claims, which bind clients' own keys to tickets in the platform's table.

mod claim;
mod claim_queue;
mod write_budget;

#[cfg(test)]
mod tests;

pub(crate) use {
    claim::{Claim, ClaimError, ClaimId},
    claim_queue::{ClaimAction, ClaimQueue, WriteOutcome},
};
