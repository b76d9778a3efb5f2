//! Validation rules for configuration documents.

use std::collections::BTreeSet;

/// Rules that a document must satisfy beyond valid TOML and valid single fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DocumentRules {
    /// No further rules, for a document that was accepted before: a rule added later must not
    /// prevent an entry from reading the configuration in force.
    Accepted,
    /// All rules that concern the document alone.
    Complete,
    /// As `Complete`; in addition at least one availability zone must stay open if any is now.
    Change {
        /// The zones that are open now.
        open_now: BTreeSet<String>,
    },
}

impl DocumentRules {
    /// Whether references between sections are checked.
    pub(crate) const fn checks_across_sections(&self) -> bool {
        matches!(self, Self::Complete | Self::Change { .. })
    }
}
