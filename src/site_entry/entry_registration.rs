//! Registers this entry in the list from which agents discover entries.

use {
    super::store_health::StoreHealth,
    crate::{
        core::entry_list::EntryListReplica,
        ports::{DecisionLog, Metrics, SiteStore},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which the entry adds itself again, in milliseconds; an agent may have removed it while
/// they could not reach each other.
const RENEWAL_INTERVAL_MS: u64 = 60_000;
/// Range of the random factor of the interval, in percent; spreads the entries' calls.
const JITTER_PERCENT: (u64, u64) = (75, 125);

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
                    wait_before_renewal().await;
                }
                Err(error) => health.record_failure(&error).await,
            }
        }
    }
}

async fn wait_before_renewal() {
    let (min, max) = JITTER_PERCENT;
    let percent = rand::random_range(min..=max);
    sleep(Duration::from_millis(RENEWAL_INTERVAL_MS * percent / 100)).await;
}
