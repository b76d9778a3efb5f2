//! The borders: traits behind which the network, the platform, time and metrics stand.

mod backend_server;
mod metrics;
mod peer_network;
mod store;
mod timer_service;

#[cfg(test)]
mod tests;

pub(crate) use {
    backend_server::BackendServer,
    metrics::{Counter, Gauge, Metrics},
    peer_network::{PeerError, PeerNetwork, SessionIo},
    store::{Check, ObjectStore, Put, Row, StoreError, Table, Transaction, TransactionOutcome},
    timer_service::TimerService,
};
