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
    /// The accepting entry's wall clock, in milliseconds since 1970; shown, never compared.
    #[serde(default)]
    pub(crate) changed_at_ms: u64,
}

/// The document in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Grows with every accepted change, from 1; zero before the first.
    pub(crate) version: u64,
    /// The object that holds the document's text.
    pub(crate) object: String,
    /// The last change of each section.
    pub(crate) sections: BTreeMap<String, SectionHead>,
}

impl Head {
    /// The version of a section's last change, zero if it has never been changed.
    pub(crate) fn section_version(&self, section: &str) -> u64 {
        self.sections.get(section).map_or(0, |head| head.version)
    }

    /// The head after a change of these sections.
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
