//! The store row that identifies the document in force.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The latest change of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SectionHead {
    /// The version of the document that the change created.
    pub(crate) version: u64,
    /// The operator's name.
    pub(crate) author: String,
    /// Wall clock of the accepting entry, in milliseconds since 1970; only displayed.
    #[serde(default)]
    pub(crate) changed_at_ms: u64,
}

/// Identifies the document in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Incremented by each accepted change; zero before the first.
    pub(crate) version: u64,
    /// The name of the object that holds the document's text.
    pub(crate) object: String,
    /// The latest change of each section.
    pub(crate) sections: BTreeMap<String, SectionHead>,
}

impl Head {
    /// The version of a section's latest change; zero if it was never changed.
    pub(crate) fn section_version(&self, section: &str) -> u64 {
        self.sections.get(section).map_or(0, |head| head.version)
    }

    /// Returns the head after a change of the given sections.
    pub(crate) fn next(
        &self,
        object: String,
        changed: &[&'static str],
        head: &SectionHead,
    ) -> Self {
        let mut sections = self.sections.clone();
        for section in changed {
            sections.insert((*section).to_owned(), head.clone());
        }
        Self {
            version: head.version,
            object,
            sections,
        }
    }
}
