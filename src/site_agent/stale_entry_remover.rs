//! Removes entries that are gone for good from the list of entries.

use {
    crate::{core::entry_list::EntryListReplica, ports::SiteStore},
    std::{net::SocketAddr, sync::Arc},
};

/// Removes entries from the list, which otherwise grows with each host that is replaced.
///
/// An entry that is removed by mistake adds itself again.
#[derive(Debug)]
pub(super) struct GoneEntryRemover {
    pub(super) store: Arc<dyn SiteStore>,
}

impl GoneEntryRemover {
    /// Removes an entry from all replicas, without retries.
    pub(super) async fn remove(self: Arc<Self>, entry: SocketAddr) {
        log::info!(entry:% = entry; "removing an entry that is gone from the entry list");
        for replica in EntryListReplica::ALL {
            if let Err(error) = self.store.remove_entry(entry, replica).await {
                let copy = replica.number();
                log::info!(copy, error:% = error; "failed to remove an entry from a replica of the entry list");
            }
        }
    }
}
