//! Removes stale entries from the list of entries.

use {
    crate::{core::entry_list::EntryListReplica, ports::SiteStore},
    std::{net::SocketAddr, sync::Arc},
};

/// Removes entries whose hosts were replaced; the list would grow with each of them.
///
/// An entry that is removed by mistake adds itself again.
#[derive(Debug)]
pub(super) struct StaleEntryRemover {
    pub(super) store: Arc<dyn SiteStore>,
}

impl StaleEntryRemover {
    /// Removes an entry from all replicas, without retries.
    pub(super) async fn remove(self: Arc<Self>, entry: SocketAddr) {
        log::info!(entry:% = entry; "removing a stale entry from the entry list");
        for replica in EntryListReplica::ALL {
            if let Err(error) = self.store.remove_entry(entry, replica).await {
                let copy = replica.number();
                log::info!(copy, error:% = error; "failed to remove a stale entry from a replica of the entry list");
            }
        }
    }
}
