//! The platform's store, as far as entries and agents use it.

use {
    super::StoreError,
    crate::core::link::News,
    async_trait::async_trait,
    std::{fmt::Debug, net::SocketAddr},
};

/// What has changed since a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing up to this version.
    None {
        /// The store's version.
        version: u64,
    },
    /// Something, or nobody knows.
    Some,
}

/// What operators have set, and where entries are.
#[async_trait]
pub(crate) trait SiteStore: Debug + Send + Sync {
    /// Reads what operators have set.
    async fn read_news(&self) -> Result<News, StoreError>;

    /// Waits up to `wait_ms` for a change of it after a version.
    async fn wait_for_news(&self, after: u64, wait_ms: u64) -> Result<Change, StoreError>;

    /// Reads where entries are, and the store's version.
    async fn read_entries(&self) -> Result<(Vec<SocketAddr>, u64), StoreError>;

    /// Waits up to `wait_ms` for a change of it after a version.
    async fn wait_for_entries(&self, after: u64, wait_ms: u64) -> Result<Change, StoreError>;

    /// Adds an entry; doing it again changes nothing.
    async fn add_entry(&self, entry: SocketAddr) -> Result<(), StoreError>;

    /// Removes an entry; doing it again changes nothing.
    async fn remove_entry(&self, entry: SocketAddr) -> Result<(), StoreError>;
}
