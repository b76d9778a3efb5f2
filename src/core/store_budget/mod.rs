//! This entry's share of what the platform's store can take.

mod bucket;
mod store_budget;

#[cfg(test)]
mod tests;

pub(crate) use store_budget::{CallKind, StoreBudget, StoreRates, Urgency};
