//! Fakes of the ports.

use {
    crate::{
        core::work::WorkerView,
        ports::{
            Counter, DecisionLog, EntryListChange, EntryListReplica, Gauge, LogPriority, Metrics,
            OperatorChange, OperatorRows, SiteStore, Span, StoreError,
        },
    },
    async_trait::async_trait,
    serde_json::Value,
    std::net::SocketAddr,
};

/// Counts nothing.
#[derive(Debug)]
pub(super) struct NoMetrics;

impl Metrics for NoMetrics {
    fn add(&self, _: Counter, _: &'static str, _: u64) {}

    fn set(&self, _: Gauge, _: u64) {}

    fn observe(&self, _: Span, _: &'static str, _: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}

/// Writes nothing down.
#[derive(Debug)]
pub(super) struct NoLines;

impl DecisionLog for NoLines {
    fn write(&self, _: LogPriority, _: Value) {}
}

/// A store that never answers.
#[derive(Debug)]
pub(super) struct NoStore;

fn away<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable("away".to_owned()))
}

#[async_trait]
impl SiteStore for NoStore {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        away()
    }

    async fn wait_for_operators(&self, _: u64, _: u64) -> Result<OperatorChange, StoreError> {
        away()
    }

    async fn read_entries(
        &self,
        _: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        away()
    }

    async fn wait_for_entries(&self, _: u64, _: u64) -> Result<EntryListChange, StoreError> {
        away()
    }

    async fn add_entry(&self, _: SocketAddr, _: EntryListReplica) -> Result<u64, StoreError> {
        away()
    }

    async fn remove_entry(
        &self,
        _: SocketAddr,
        _: EntryListReplica,
        _: u64,
    ) -> Result<(), StoreError> {
        away()
    }

    async fn read_worker(&self, _: &str) -> Result<Option<WorkerView>, StoreError> {
        away()
    }

    async fn store_worker(&self, _: &str, _: &WorkerView) -> Result<(), StoreError> {
        away()
    }
}
