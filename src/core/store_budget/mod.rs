//! This entry's share of what the platform's store can take.

mod store_budget;
mod token_bucket;

#[cfg(test)]
mod tests;

pub(crate) use store_budget::{CallKind, StoreBudget, StoreRates, Urgency};
