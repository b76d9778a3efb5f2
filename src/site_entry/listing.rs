//! Keeps this entry on the list by which agents find it.

use {
    super::store_watch::StoreWatch,
    crate::ports::{DecisionLog, EntryListReplica, Metrics, SiteStore},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// This entry's rows in the copies of the list.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    /// Where agents reach this entry.
    pub(super) entry: SocketAddr,
    /// Versions of the rows that this process has made.
    pub(super) rows: Mutex<BTreeMap<EntryListReplica, u64>>,
}

impl Listing {
    /// Puts the entry into one copy, however often that must be tried.
    pub(super) async fn join(self: Arc<Self>, copy: EntryListReplica) {
        let mut watch = StoreWatch::new("join", &self.decisions, &self.metrics);
        loop {
            match self.store.add_entry(self.entry, copy).await {
                Ok(version) => {
                    watch.regained();
                    let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
                    rows.insert(copy, version);
                    return;
                }
                Err(error) => watch.lost(&error).await,
            }
        }
    }

    /// Takes the entry from all copies that this process has put it into, once.
    ///
    /// A row that stays costs each agent an attempt to connect now and then.
    pub(super) async fn leave(self: Arc<Self>) {
        let rows = std::mem::take(&mut *self.rows.lock().unwrap_or_else(PoisonError::into_inner));
        for (copy, version) in rows {
            if let Err(error) = self.store.remove_entry(self.entry, copy, version).await {
                let copy = copy.number();
                log::info!(copy, error:% = error; "this entry stays on a copy of the list");
            }
        }
    }
}
