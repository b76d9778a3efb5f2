//! How strictly a document is read.

use std::collections::BTreeSet;

/// Which rules a document is held to beyond its form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DocumentRules {
    /// Only its form: for one that was accepted before. Rules that are added later must not keep
    /// an entry from reading the configuration in force.
    Accepted,
    /// All rules on its own.
    Complete,
    /// All rules; and of the availability zones that are open now, one stays open.
    Change {
        /// The zones that are open now.
        open_now: BTreeSet<String>,
    },
}

impl DocumentRules {
    /// Whether sections are held against each other.
    pub(crate) const fn checks_across_sections(&self) -> bool {
        matches!(self, Self::Complete | Self::Change { .. })
    }
}
