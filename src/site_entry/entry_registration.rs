//! Keeps this entry on the list by which agents find it.

use {
    super::store_health::StoreHealth,
    crate::ports::{DecisionLog, EntryListReplica, Metrics, SiteStore},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// This entry's rows in the copies of the list.
#[derive(Debug)]
pub(super) struct EntryRegistration {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    /// Where agents reach this entry.
    pub(super) entry: SocketAddr,
    /// Versions of the rows that this process has made.
    pub(super) rows: Mutex<BTreeMap<EntryListReplica, u64>>,
}

impl EntryRegistration {
    /// Puts the entry into one copy, however often that must be tried.
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

    /// Takes the entry from all copies that this process has put it into, once.
    ///
    /// A row that stays costs each agent an attempt to connect now and then.
    pub(super) async fn deregister(self: Arc<Self>) {
        let rows = std::mem::take(&mut *self.rows.lock().unwrap_or_else(PoisonError::into_inner));
        for (replica, version) in rows {
            if let Err(error) = self.store.remove_entry(self.entry, replica, version).await {
                let copy = replica.number();
                log::info!(copy, error:% = error; "this entry stays on a copy of the list");
            }
        }
    }
}
