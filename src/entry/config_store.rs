//! Reads the configuration from the platform.

use {
    super::{EntryState, InForce},
    crate::{
        conf::{DocumentRules, OperatorSettings, read_document_with},
        core::config::Head,
        ports::{Metrics, ObjectStore, Row, StoreError, Table, TimerService},
    },
    std::sync::Arc,
    subtle::ConstantTimeEq,
    tokio::sync::Mutex,
};

/// Key of the row that names the document in force.
pub(super) const HEAD_KEY: &str = "config-head";
/// Key prefix of the history rows; each stores the head of one version.
const HISTORY_PREFIX: &str = "config-history-";
/// Digits of a version in a history row's key.
const VERSION_DIGITS: usize = 12;
/// Trailing digits left out of a scan's prefix to read a block of history rows.
const BLOCK_DIGITS: usize = 2;
/// Versions in one block.
const BLOCK_VERSIONS: u64 = 100;

/// Returns the key of a version's history row.
pub(super) fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:0VERSION_DIGITS$}")
}

/// Reads and changes the configuration on the platform.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    pub(crate) state: Arc<EntryState>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) operators: Vec<OperatorSettings>,
    /// Held while this entry applies a change.
    pub(crate) change_lock: Mutex<()>,
}

impl ConfigStore {
    /// Reads the head row, and the document if it is newer than the one in force here.
    pub(crate) async fn refresh(&self) -> Result<(), StoreError> {
        let requested_at = self.timer.now();
        let Some((head, _)) = self.read_head().await? else {
            return Ok(());
        };
        let current_version = self
            .state
            .in_force()
            .map_or(0, |current| current.head.version);
        if head.version <= current_version {
            self.state.record_head_read(requested_at, None);
            return Ok(());
        }
        let newer = self.read_document_of(head).await?;
        self.state.record_head_read(requested_at, Some(newer));
        Ok(())
    }

    /// Applies a configuration forwarded by another entry.
    pub(crate) fn apply_forwarded(&self, head: Head, text: &str) {
        match in_force(head, text.to_owned()) {
            Ok(newer) => self.state.apply_forwarded(newer),
            Err(error) => log::warn!(error:% = error; "a forwarded configuration is invalid"),
        }
    }

    /// Returns the operator with this token.
    pub(crate) fn find_operator(&self, token: &str) -> Option<&OperatorSettings> {
        let digest = blake3::hash(token.as_bytes()).to_hex();
        self.operators.iter().find(|operator| {
            operator
                .token_blake3
                .as_bytes()
                .ct_eq(digest.as_bytes())
                .into()
        })
    }

    /// Returns the heads of the newest `last` versions, oldest first.
    ///
    /// Scans rows in blocks, so that a long history isn't read completely.
    pub(crate) async fn history(&self, last: u64) -> Result<Vec<Head>, StoreError> {
        let newest = match self.read_head().await? {
            Some((head, _)) => head.version,
            None => return Ok(Vec::new()),
        };
        let first = newest.saturating_sub(last.max(1) - 1).max(1);
        let mut heads = Vec::new();
        for block in first / BLOCK_VERSIONS..=newest / BLOCK_VERSIONS {
            let width = VERSION_DIGITS - BLOCK_DIGITS;
            let prefix = format!("{HISTORY_PREFIX}{block:0width$}");
            let rows = self.table.scan(&prefix).await?;
            for row in &rows {
                heads.push(decode_head(row)?);
            }
        }
        heads.retain(|head| head.version >= first);
        Ok(heads)
    }

    /// Returns the configuration at a version.
    pub(crate) async fn at_version(&self, version: u64) -> Result<Option<InForce>, StoreError> {
        match self.read_history_row(version).await? {
            Some(head) => self.read_document_of(head).await.map(Some),
            None => Ok(None),
        }
    }

    pub(super) async fn read_history_row(&self, version: u64) -> Result<Option<Head>, StoreError> {
        let row = self.table.get(&history_key(version)).await?;
        row.as_ref().map(decode_head).transpose()
    }

    /// Returns the head with the version of its row, or `None` before the first configuration.
    pub(super) async fn read_head(&self) -> Result<Option<(Head, u64)>, StoreError> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((decode_head(&row)?, row.version)))
    }

    pub(super) async fn read_document_of(&self, head: Head) -> Result<InForce, StoreError> {
        let text = self
            .objects
            .get_object(&head.object)
            .await?
            .ok_or_else(|| StoreError::Unavailable(format!("no object {}", head.object)))?;
        in_force(head, text)
    }
}

fn in_force(head: Head, text: String) -> Result<InForce, StoreError> {
    let document = read_document_with(&text, &DocumentRules::Accepted).map_err(|faults| {
        StoreError::Unavailable(format!(
            "document {} has {} faults",
            head.object,
            faults.len()
        ))
    })?;
    Ok(InForce {
        head,
        text: text.into(),
        document: Arc::new(document),
    })
}

fn decode_head(row: &Row) -> Result<Head, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::Unavailable(format!("unreadable row {}: {error}", row.key)))
}
