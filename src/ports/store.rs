//! The platform's transactional table and its object store.

use {
    async_trait::async_trait,
    quick_error::quick_error,
    serde::{Deserialize, Serialize},
    std::fmt::Debug,
};

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The platform refused the call or was unreachable; no write took effect.
        Unavailable(detail: String) {
            display("the platform's store is unavailable: {}", detail)
        }
        /// The response was lost; a write may have taken effect.
        OutcomeUnknown(detail: String) {
            display("the platform's reply was lost: {}", detail)
        }
    }
}

impl StoreError {
    /// Name of the error in logs and metrics.
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Unavailable(_) => "unavailable",
            Self::OutcomeUnknown(_) => "outcome_unknown",
        }
    }
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) key: String,
    pub(crate) value: String,
    /// Starts at 1 and increases with each write of the row.
    pub(crate) version: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Check {
    pub(crate) key: String,
    /// Expected version of the row; 0 if the row must not exist.
    pub(crate) version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Put {
    pub(crate) key: String,
    /// `None` deletes the row.
    pub(crate) value: Option<String>,
}

/// Writes that are committed atomically if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Transaction {
    pub(crate) checks: Vec<Check>,
    pub(crate) puts: Vec<Put>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TransactionOutcome {
    Committed,
    /// A check failed; no write took effect.
    Conflict {
        /// The key of the first check that failed.
        key: String,
    },
}

#[async_trait]
pub(crate) trait Table: Debug + Send + Sync {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Returns all rows whose key starts with `prefix`, ordered by key.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, StoreError>;

    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError>;
}

#[async_trait]
pub(crate) trait ObjectStore: Debug + Send + Sync {
    async fn get_object(&self, name: &str) -> Result<Option<String>, StoreError>;

    async fn put_object(&self, name: &str, body: String) -> Result<(), StoreError>;
}
