//! Registers this entry in the list from which agents discover entries.

use {
    super::store_health::StoreHealth,
    crate::{
        adapters::timer::sleep_with_jitter,
        core::entry_list::EntryListReplica,
        ports::{DecisionLog, Metrics, SiteStore},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Interval at which the entry adds itself again, in milliseconds; an agent may have removed it while
/// they could not reach each other.
const RENEWAL_INTERVAL_MS: u64 = 60_000;

/// Keeps this entry in the replicas of the entry list.
///
/// It stays listed when its process ends: a restart then changes nothing on the list, and its agents
/// reconnect even if the store is unavailable. Agents remove stale entries.
#[derive(Debug)]
pub(super) struct EntryRegistration {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    /// Address that agents connect to.
    pub(super) entry: SocketAddr,
}

impl EntryRegistration {
    /// Keeps the entry in one replica for the lifetime of the process.
    pub(super) async fn maintain(self: Arc<Self>, replica: EntryListReplica) {
        let mut health = StoreHealth::new("join", &self.decisions, &self.metrics);
        loop {
            match self.store.add_entry(self.entry, replica).await {
                Ok(is_new) => {
                    health.record_success();
                    let copy = replica.number();
                    log::debug!(copy, is_new; "this entry is on the entry list");
                    sleep_with_jitter(RENEWAL_INTERVAL_MS).await;
                }
                Err(error) => health.record_failure(&error).await,
            }
        }
    }
}
