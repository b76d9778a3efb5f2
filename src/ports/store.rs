//! The platform's transactional table and its object store.

use {
    async_trait::async_trait,
    quick_error::quick_error,
    serde::{Deserialize, Serialize},
    std::fmt::Debug,
};

quick_error! {
    /// Why the platform gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The platform refused the call or could not be reached; nothing took effect.
        Unavailable(detail: String) {
            display("the platform's store is unavailable: {}", detail)
        }
        /// The reply was lost; a write may have taken effect.
        OutcomeUnknown(detail: String) {
            display("the platform's reply was lost: {}", detail)
        }
    }
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    /// The row's key.
    pub(crate) key: String,
    /// The row's value.
    pub(crate) value: String,
    /// Grows with each write of the row, from 1.
    pub(crate) version: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Check {
    /// The row's key.
    pub(crate) key: String,
    /// The version that the row must have; zero: there must be no such row.
    pub(crate) version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Put {
    /// The row's key.
    pub(crate) key: String,
    /// The new value; `None` deletes the row.
    pub(crate) value: Option<String>,
}

/// Writes that take effect together, if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Transaction {
    /// The conditions.
    pub(crate) checks: Vec<Check>,
    /// The writes.
    pub(crate) puts: Vec<Put>,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TransactionOutcome {
    /// All writes took effect.
    Committed,
    /// None did: this row's check failed.
    Conflict {
        /// The key of the first check that failed.
        key: String,
    },
}

/// The transactional table.
#[async_trait]
pub(crate) trait Table: Debug + Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Reads all rows whose key begins with `prefix`, in the order of their keys.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, StoreError>;

    /// Writes rows if all checks hold.
    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError>;
}

/// The object store.
#[async_trait]
pub(crate) trait ObjectStore: Debug + Send + Sync {
    /// Reads an object.
    async fn get_object(&self, name: &str) -> Result<Option<String>, StoreError>;

    /// Writes an object.
    async fn put_object(&self, name: &str, body: String) -> Result<(), StoreError>;
}
