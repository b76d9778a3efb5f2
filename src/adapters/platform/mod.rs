//! The platform's table and object store over HTTP with JSON.

mod budgeted_store;
mod http_store;

#[cfg(test)]
mod tests;

pub(crate) use {budgeted_store::BudgetedStore, http_store::HttpStore};
