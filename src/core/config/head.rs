//! The row that says which document is in force.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Who changed a section last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SectionHead {
    /// The document's version of that change.
    pub(crate) version: u64,
    /// The operator's name.
    pub(crate) author: String,
}

/// The document in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Grows with every accepted change, from 1.
    pub(crate) version: u64,
    /// The object that holds the document's text.
    pub(crate) object: String,
    /// The last change of each section.
    pub(crate) sections: BTreeMap<String, SectionHead>,
}
