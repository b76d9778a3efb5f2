//! One version of the operators' configuration.

use {
    super::{HttpLimits, RouteTable, ServiceConfig},
    std::collections::BTreeMap,
};

/// The parsed operators' document.
#[derive(Debug, Default)]
pub(crate) struct SiteConfig {
    /// Increases with each change of the document; zero before the first.
    pub(crate) version: u64,
    /// Routes to the queues.
    pub(crate) routes: RouteTable,
    /// The services by name.
    pub(crate) services: BTreeMap<String, ServiceConfig>,
    /// Limits on client connections.
    pub(crate) limits: HttpLimits,
}
