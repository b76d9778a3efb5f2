//! The platform's store, as far as entries and agents use it.

use {
    super::StoreError,
    crate::core::{document::Document, link::EvacuatedZones, work::WorkerView},
    async_trait::async_trait,
    std::{collections::BTreeMap, fmt::Debug, net::SocketAddr},
};

/// What has changed since a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryListChange {
    /// Nothing up to this version.
    None {
        /// The store's version.
        version: u64,
    },
    /// Something, or nobody knows.
    Some,
}

/// What operators have set, as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OperatorRows {
    /// The zones that are out, and the version of the store.
    pub(crate) zones: EvacuatedZones,
    /// The document, if there is one.
    pub(crate) document: Option<Document>,
}

/// What has changed in what operators have set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OperatorChange {
    /// Nothing up to this version.
    None {
        /// The store's version.
        version: u64,
    },
    /// Some rows, up to this version.
    Rows {
        /// The store's version.
        version: u64,
        /// Zones that changed, and whether they are out now.
        zones: BTreeMap<String, bool>,
        /// The document, if it changed.
        document: Option<Document>,
    },
    /// What has changed is no longer known: all is to be read anew.
    HistoryUnavailable,
}

/// One of the copies of the list of entries.
///
/// Each lies in a part of the store of its own. Guards against a store that is down in part: with a
/// single list, agents that start while its part is away find no entry, although the entries are at
/// work. A part in four may be away at once; then all three are in one case of 64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryListReplica(u8);

impl EntryListReplica {
    /// All copies.
    pub(crate) const ALL: [Self; 3] = [Self(0), Self(1), Self(2)];

    /// The copy's number.
    pub(crate) const fn number(self) -> u8 {
        self.0
    }
}

/// What operators have set, and where entries are.
#[async_trait]
pub(crate) trait SiteStore: Debug + Send + Sync {
    /// Reads what operators have set.
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError>;

    /// Waits up to `wait_ms` for a change of it after a version.
    async fn wait_for_operator_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<OperatorChange, StoreError>;

    /// Reads where entries are, and the store's version.
    async fn read_entries(
        &self,
        replica: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError>;

    /// Waits up to `wait_ms` for a change of any copy after a version.
    async fn wait_for_entry_list_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListChange, StoreError>;

    /// Puts an entry into a copy; the version of its row there.
    async fn add_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
    ) -> Result<u64, StoreError>;

    /// Removes an entry from a copy unless its row is no longer of this version.
    ///
    /// Guards against a removal that is carried out seconds late, when a newer process is at work
    /// at the address and has put it into the list again.
    async fn remove_entry(
        &self,
        entry: SocketAddr,
        replica: EntryListReplica,
        version: u64,
    ) -> Result<(), StoreError>;

    /// Reads what an agent has kept of its worker.
    async fn read_worker(&self, agent: &str) -> Result<Option<WorkerView>, StoreError>;

    /// Keeps what an agent knows of its worker for its later processes.
    async fn store_worker(&self, agent: &str, worker: &WorkerView) -> Result<(), StoreError>;
}
