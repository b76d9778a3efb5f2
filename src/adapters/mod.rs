//! What stands behind the ports: tokio, h2 with bincode, hyper, poem, opentelemetry, logforth.

pub(crate) mod backend;
pub(crate) mod http;
pub(crate) mod link;
pub(crate) mod logging;
pub(crate) mod metrics;
pub(crate) mod peer;
pub(crate) mod platform;
pub(crate) mod socket;
pub(crate) mod timer;
