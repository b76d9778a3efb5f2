//! Read position in a change feed.

use std::collections::VecDeque;

/// Version after which changes are requested; trails the newest reported version by `lag` responses.
///
/// A feed may omit a change from a response that reports a later version and deliver it in a later response.
#[derive(Debug)]
pub(crate) struct FeedCursor {
    after: u64,
    lag: usize,
    /// Versions of the last responses, oldest first.
    recent_versions: VecDeque<u64>,
}

impl FeedCursor {
    /// Starts at a version up to which everything has been read.
    pub(crate) const fn new(version: u64, lag: usize) -> Self {
        Self {
            after: version,
            lag,
            recent_versions: VecDeque::new(),
        }
    }

    /// Version after which the next request asks for changes.
    pub(crate) const fn after(&self) -> u64 {
        self.after
    }

    /// Continues after a response with changes up to a version.
    pub(crate) fn restart(&mut self, version: u64) {
        self.after = version;
        self.recent_versions.clear();
    }

    /// Records a response that reports a version and contains no changes.
    pub(crate) fn advance(&mut self, version: u64) {
        self.recent_versions.push_back(version);
        if self.recent_versions.len() > self.lag
            && let Some(version) = self.recent_versions.pop_front()
        {
            self.after = version;
        }
    }
}
