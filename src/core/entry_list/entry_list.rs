//! An agent's copy of the list of entries.

use std::{collections::BTreeSet, net::SocketAddr};

/// An entry was added to the list or removed from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryListChange {
    pub(crate) entry: SocketAddr,
    pub(crate) is_listed: bool,
}

/// The listed entries, as of the latest read or change.
#[derive(Debug, Default)]
pub(crate) struct EntryList {
    entries: BTreeSet<SocketAddr>,
}

impl EntryList {
    /// Replaces the list with one that was read from the store.
    pub(crate) fn replace(&mut self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.entries = entries.into_iter().collect();
    }

    /// Applies changes in their order; returns whether the list differs afterwards.
    pub(crate) fn apply(&mut self, changes: &[EntryListChange]) -> bool {
        let before = self.entries.clone();
        for change in changes {
            if change.is_listed {
                self.entries.insert(change.entry);
            } else {
                self.entries.remove(&change.entry);
            }
        }
        self.entries != before
    }

    /// Returns the listed entries in ascending order.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().copied().collect()
    }
}
