//! Fake implementations of the ports.

use {
    crate::{
        core::{entry_list::EntryListReplica, work::WorkerView},
        ports::{
            Counter, DecisionLog, EntryListUpdate, Gauge, Histogram, LogPriority, Metrics,
            OperatorChange, OperatorRows, SiteStore, StoreError,
        },
    },
    async_trait::async_trait,
    serde_json::Value,
    std::net::SocketAddr,
};

/// Discards all metrics.
#[derive(Debug)]
pub(super) struct NoopMetrics;

impl Metrics for NoopMetrics {
    fn add(&self, _: Counter, _: &'static str, _: u64) {}

    fn set(&self, _: Gauge, _: u64) {}

    fn observe(&self, _: Histogram, _: &'static str, _: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}

/// Discards all log lines.
#[derive(Debug)]
pub(super) struct NoopDecisionLog;

impl DecisionLog for NoopDecisionLog {
    fn write(&self, _: LogPriority, _: Value) {}
}

/// A store whose calls all fail.
#[derive(Debug)]
pub(super) struct UnavailableStore;

fn unavailable<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable("away".to_owned()))
}

#[async_trait]
impl SiteStore for UnavailableStore {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        unavailable()
    }

    async fn wait_for_operator_change(&self, _: u64, _: u64) -> Result<OperatorChange, StoreError> {
        unavailable()
    }

    async fn read_entries(
        &self,
        _: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        unavailable()
    }

    async fn wait_for_entry_list_update(
        &self,
        _: EntryListReplica,
        _: u64,
        _: u64,
    ) -> Result<EntryListUpdate, StoreError> {
        unavailable()
    }

    async fn add_entry(&self, _: SocketAddr, _: EntryListReplica) -> Result<bool, StoreError> {
        unavailable()
    }

    async fn remove_entry(&self, _: SocketAddr, _: EntryListReplica) -> Result<(), StoreError> {
        unavailable()
    }

    async fn read_worker(&self, _: &str) -> Result<Option<WorkerView>, StoreError> {
        unavailable()
    }

    async fn store_worker(&self, _: &str, _: &WorkerView) -> Result<(), StoreError> {
        unavailable()
    }
}
