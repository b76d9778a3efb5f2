//! Registers this entry in the list from which agents discover entries.

use {
    super::store_health::StoreHealth,
    crate::ports::{DecisionLog, EntryListReplica, Metrics, SiteStore},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// This entry's rows in the replicas of the entry list.
#[derive(Debug)]
pub(super) struct EntryRegistration {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    /// Address that agents connect to.
    pub(super) entry: SocketAddr,
    /// Versions of the rows that this process wrote.
    pub(super) rows: Mutex<BTreeMap<EntryListReplica, u64>>,
}

impl EntryRegistration {
    /// Adds the entry to one replica; retries until it succeeds.
    pub(super) async fn register(self: Arc<Self>, replica: EntryListReplica) {
        let mut health = StoreHealth::new("join", &self.decisions, &self.metrics);
        loop {
            match self.store.add_entry(self.entry, replica).await {
                Ok(version) => {
                    health.record_success();
                    let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
                    rows.insert(replica, version);
                    return;
                }
                Err(error) => health.record_failure(&error).await,
            }
        }
    }

    /// Removes the entry from all replicas that this process added it to, without retries.
    ///
    /// A leftover row only costs each agent occasional failed connection attempts.
    pub(super) async fn deregister(self: Arc<Self>) {
        let rows = std::mem::take(&mut *self.rows.lock().unwrap_or_else(PoisonError::into_inner));
        for (replica, version) in rows {
            if let Err(error) = self.store.remove_entry(self.entry, replica, version).await {
                let copy = replica.number();
                log::info!(copy, error:% = error; "failed to remove this entry from a replica of the entry list");
            }
        }
    }
}
