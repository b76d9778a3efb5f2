//! Implementations of the ports with tokio, h2, bincode, hyper, poem, opentelemetry and logforth.

pub(crate) mod backend;
pub(crate) mod connections;
pub(crate) mod http;
pub(crate) mod link;
pub(crate) mod logging;
pub(crate) mod metrics;
pub(crate) mod peer;
pub(crate) mod platform;
pub(crate) mod socket;
pub(crate) mod timer;
