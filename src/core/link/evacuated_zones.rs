//! What operators have set, as it is passed on between processes.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The zones that operators have taken out, at one version of the store. Their document goes its own way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuatedZones {
    /// Version of the store at which the rows were read.
    pub(crate) version: u64,
    /// Availability zones in which nothing may start.
    pub(crate) evacuated: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Whether these say more than the known ones.
    pub(crate) fn is_newer_than(&self, known: Option<&Self>) -> bool {
        known.is_none_or(|known| self.version > known.version)
    }
}
