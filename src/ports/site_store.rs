//! Typed access to the rows that entries and agents share in the platform's store.

use {
    super::StoreError,
    crate::core::{document::Document, link::EvacuatedZones, work::WorkerView},
    async_trait::async_trait,
    std::{collections::BTreeMap, fmt::Debug, net::SocketAddr},
};

/// Changes of the list of entries since a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryListChange {
    /// No change up to this version of the store.
    None { version: u64 },
    /// There may be a change; the list must be read again.
    Some,
}

/// Snapshot of the operators' rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OperatorRows {
    pub(crate) zones: EvacuatedZones,
    pub(crate) document: Option<Document>,
}

/// Changes of the operators' rows since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OperatorChange {
    /// No change up to this version of the store.
    None { version: u64 },
    /// Changed rows, up to this version of the store.
    Rows {
        version: u64,
        /// Changed zones; true if the zone is evacuated.
        zones: BTreeMap<String, bool>,
        /// The new document, if it changed.
        document: Option<Document>,
    },
    /// The store no longer has the changes since that version; all rows must be read again.
    HistoryUnavailable,
}

/// One replica of the list of entries.
///
/// Each replica is in a different partition of the store, so that agents can discover entries while
/// some partitions are unavailable. If each is unavailable with probability 1/4, all three are with 1/64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryListReplica(u8);

impl EntryListReplica {
    pub(crate) const ALL: [Self; 3] = [Self(0), Self(1), Self(2)];

    pub(crate) const fn number(self) -> u8 {
        self.0
    }
}

/// Rows of operators, entries and workers in the platform's store.
#[async_trait]
pub(crate) trait SiteStore: Debug + Send + Sync {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError>;

    /// Long-polls up to `wait_ms` for a change of the operators' rows after a version.
    async fn wait_for_operator_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<OperatorChange, StoreError>;

    /// Returns the addresses of the entries and the store's version.
    async fn read_entries(
        &self,
        replica: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError>;

    /// Long-polls up to `wait_ms` for a change of any replica after a version.
    async fn wait_for_entry_list_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListChange, StoreError>;

    /// Adds an entry to a replica and returns the version of its row.
    async fn add_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<u64, StoreError>;

    /// Removes an entry from a replica if its row still has this version.
    ///
    /// A delayed removal must not delete the row of a newer process at the same address.
    async fn remove_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
        version: u64,
    ) -> Result<(), StoreError>;

    /// Reads the view of its worker that an agent has stored.
    async fn read_worker(&self, agent: &str) -> Result<Option<WorkerView>, StoreError>;

    /// Stores an agent's view of its worker for later processes of the agent.
    async fn store_worker(&self, agent: &str, worker: &WorkerView) -> Result<(), StoreError>;
}
