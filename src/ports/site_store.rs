//! Typed access to the rows that entries and agents share in the platform's store.

use {
    super::StoreError,
    crate::core::{
        document::Document,
        entry_list::{EntryListChange, EntryListReplica},
        link::EvacuatedZones,
        work::WorkerView,
    },
    async_trait::async_trait,
    std::{collections::BTreeMap, fmt::Debug, net::SocketAddr},
};

/// Changes of one replica of the list of entries since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EntryListUpdate {
    /// All changes up to this version of the store, in their order; may be empty.
    Changes {
        version: u64,
        changes: Vec<EntryListChange>,
    },
    /// The store no longer has the changes since that version; the list must be read again.
    HistoryUnavailable,
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

/// Rows of operators, entries and workers in the platform's store.
#[async_trait]
pub(crate) trait SiteStore: Debug + Send + Sync {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError>;

    /// Reads the evacuated zones without the document, which may be large.
    async fn read_evacuated_zones(&self) -> Result<EvacuatedZones, StoreError>;

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

    /// Long-polls up to `wait_ms` for changes of a replica after a version.
    ///
    /// Versions of all replicas come from one counter.
    async fn wait_for_entry_list_update(
        &self,
        replica: EntryListReplica,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListUpdate, StoreError>;

    /// Adds an entry to a replica; returns false if it was listed there already.
    async fn add_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<bool, StoreError>;

    /// Removes an entry from a replica.
    async fn remove_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<(), StoreError>;

    /// Reads the view of its worker that an agent has stored.
    async fn read_worker(&self, agent: &str) -> Result<Option<WorkerView>, StoreError>;

    /// Stores an agent's view of its worker for later processes of the agent.
    async fn store_worker(&self, agent: &str, worker: &WorkerView) -> Result<(), StoreError>;
}
