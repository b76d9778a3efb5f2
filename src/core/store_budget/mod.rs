//! Limits the rate of this entry's calls to the platform's store.

mod store_budget;
mod token_bucket;

#[cfg(test)]
mod tests;

pub(crate) use store_budget::{CallKind, StoreBudget, StoreRates, Urgency};
