//! Replicas of the list of entries.

/// One replica of the list of entries.
///
/// Each replica is in a different partition of the store, so that agents can discover entries while
/// some partitions are unavailable. If each is unavailable with probability 1/4, all three are with 1/64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryListReplica(u8);

impl EntryListReplica {
    pub(crate) const ALL: [Self; 3] = [Self(0), Self(1), Self(2)];

    pub(crate) const fn number(self) -> u8 {
        self.0
    }

    /// The replica to use when this one is unavailable.
    pub(crate) const fn next(self) -> Self {
        Self((self.0 + 1) % Self::ALL.len() as u8)
    }
}
