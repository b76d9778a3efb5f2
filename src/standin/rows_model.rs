//! In-memory model of the platform's table store in site deployments.

use std::collections::{BTreeMap, VecDeque};

/// Number of changes kept for the feed.
const MAX_HISTORY_CHANGES: usize = 1_000;

/// Identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowName {
    pub(crate) table: String,
    pub(crate) part: String,
    pub(crate) key: String,
}

/// A row's value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoredRow {
    pub(crate) value: String,
    pub(crate) version: u64,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApplyOutcome {
    /// All writes were applied.
    Committed,
    /// A row did not have the expected version; nothing was written.
    Conflict,
}

/// Result of reading the change feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FeedPage {
    /// Changed rows in order of change; `None` for a removed row.
    Changes(Vec<(RowName, Option<StoredRow>)>),
    /// The history no longer covers the requested version.
    Truncated,
}

/// Rows with their versions and a bounded change history.
#[derive(Debug, Default)]
pub(crate) struct RowsModel {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
    history: VecDeque<(u64, RowName)>,
    /// Version of the newest change that was dropped from the history.
    truncated_version: u64,
}

impl RowsModel {
    /// Version of the latest committed transaction.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Applies a transaction atomically if all expected versions match.
    pub(crate) fn apply(
        &mut self,
        expected: &[(RowName, u64)],
        puts: Vec<(RowName, String)>,
        removed: Vec<RowName>,
    ) -> ApplyOutcome {
        let version_of = |name: &RowName| self.rows.get(name).map_or(0, |row| row.version);
        if expected
            .iter()
            .any(|(name, version)| version_of(name) != *version)
        {
            return ApplyOutcome::Conflict;
        }
        self.version += 1;
        for (name, value) in puts {
            let version = self.version;
            self.rows.insert(name.clone(), StoredRow { value, version });
            self.history.push_back((version, name));
        }
        for name in removed {
            if self.rows.remove(&name).is_some() {
                self.history.push_back((self.version, name));
            }
        }
        while self.history.len() > MAX_HISTORY_CHANGES {
            self.drop_oldest_change();
        }
        ApplyOutcome::Committed
    }

    fn drop_oldest_change(&mut self) {
        if let Some((version, _)) = self.history.pop_front() {
            self.truncated_version = version;
        }
    }

    /// Drops the change history but keeps the rows.
    pub(crate) fn clear_history(&mut self) {
        self.history.clear();
        self.truncated_version = self.version;
    }

    /// Rows of one part of a table, sorted by key.
    pub(crate) fn part_rows(&self, table: &str, part: &str) -> Vec<(RowName, StoredRow)> {
        let is_in_part = |name: &RowName| name.table == table && name.part == part;
        let rows = self.rows.iter().filter(|(name, _)| is_in_part(name));
        rows.map(|(name, row)| (name.clone(), row.clone()))
            .collect()
    }

    /// Changes to a table after a version.
    pub(crate) fn feed(&self, table: &str, after: u64) -> FeedPage {
        if after < self.truncated_version {
            return FeedPage::Truncated;
        }
        let changed = self.history.iter();
        let changed = changed.filter(|(version, name)| *version > after && name.table == table);
        FeedPage::Changes(
            changed
                .map(|(_, name)| (name.clone(), self.rows.get(name).cloned()))
                .collect(),
        )
    }
}
