//! Evacuated zones, as processes relay them.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Evacuated zones at one version of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuatedZones {
    /// Store version at which the rows were read.
    pub(crate) version: u64,
    /// Availability zones in which nothing may start.
    pub(crate) evacuated: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Whether this version is newer than the known one.
    pub(crate) fn is_newer_than(&self, known: Option<&Self>) -> bool {
        known.is_none_or(|known| self.version > known.version)
    }
}
