//! One version of everything that operators set.

use {
    super::{HttpLimits, RouteTable, ServiceConfig},
    std::collections::BTreeMap,
};

/// The operators' document, read.
#[derive(Debug, Default)]
pub(crate) struct SiteConfig {
    /// Grows with each change of the document; zero before the first.
    pub(crate) version: u64,
    /// The queues.
    pub(crate) routes: RouteTable,
    /// The services by name.
    pub(crate) services: BTreeMap<String, ServiceConfig>,
    /// Limits for clients' connections.
    pub(crate) limits: HttpLimits,
}
