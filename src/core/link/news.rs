//! What operators have set, as it is passed on between processes.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc},
};

/// The state of the operators' rows at one version of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct News {
    /// Version of the store at which the rows were read.
    pub(crate) version: u64,
    /// Availability zones in which nothing may start.
    pub(crate) evacuated: BTreeSet<String>,
    /// The operators' document as it lies in the store; absent where the reader only needs the zones.
    pub(crate) document: Option<Arc<[u8]>>,
}

impl News {
    /// Whether these say more than the known ones.
    ///
    /// Guards against a change that stays unknown: news may come without the document first, and
    /// the same version with the document must then not be taken for old.
    pub(crate) fn is_newer_than(&self, known: Option<&Self>) -> bool {
        known.is_none_or(|known| self.rank() > known.rank())
    }

    const fn rank(&self) -> (u64, bool) {
        (self.version, self.document.is_some())
    }
}
