//! Traits that separate the core from the network, the platform, clocks and metrics.

mod backend_server;
mod decision_log;
mod feed_cursor;
mod metrics;
mod peer_network;
mod site_store;
mod store;
mod timer_service;
mod worker_client;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use tests::EntryListStore;

pub(crate) use {
    backend_server::BackendServer,
    decision_log::{DecisionLog, LogPriority, log_decision},
    feed_cursor::FeedCursor,
    metrics::{ConnectionLoad, Counter, Gauge, Histogram, Metrics, ReadConnectionLoad},
    peer_network::{PeerError, PeerNetwork, SessionIo},
    site_store::{EntryListUpdate, OperatorChange, OperatorRows, SiteStore},
    store::{Check, ObjectStore, Put, Row, StoreError, Table, Transaction, TransactionOutcome},
    timer_service::TimerService,
    worker_client::WorkerClient,
};
