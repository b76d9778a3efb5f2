//! Where a reader of a feed goes on.

use std::collections::VecDeque;

/// The version after which changes are asked for, some answers behind the newest that was told.
///
/// Guards against a change that a feed leaves out of an answer that tells a later version: a later answer has it.
#[derive(Debug)]
pub(crate) struct FeedCursor {
    after: u64,
    lag: usize,
    /// Versions of the newest answers.
    recent_versions: VecDeque<u64>,
}

impl FeedCursor {
    /// Goes on from a version up to which everything was read, so many answers behind.
    pub(crate) const fn new(version: u64, lag: usize) -> Self {
        Self {
            after: version,
            lag,
            recent_versions: VecDeque::new(),
        }
    }

    /// The version after which changes are to be asked for.
    pub(crate) const fn after(&self) -> u64 {
        self.after
    }

    /// Takes in an answer that tells of no change up to a version.
    pub(crate) fn advance(&mut self, version: u64) {
        self.recent_versions.push_back(version);
        if self.recent_versions.len() > self.lag
            && let Some(version) = self.recent_versions.pop_front()
        {
            self.after = version;
        }
    }
}
