//! Applies operators' configuration changes and resolves writes whose reply was lost.

use {
    super::{
        ApplyError, ConfigStore, InForce,
        config_draft::{Change, Draft, Proposal, sections_of},
        config_store::{HEAD_KEY, history_key},
    },
    crate::{
        conf::OperatorSettings,
        core::config::{Difference, Document, Head, SECTIONS, SectionHead, Sections},
        ports::{Check, Counter, Put, StoreError, Transaction, TransactionOutcome},
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::MutexGuard,
        time::{sleep, timeout},
    },
};

/// Attempts at a change that keeps conflicting with concurrent changes of other entries.
const MAX_APPLY_ATTEMPTS: usize = 20;
/// How long a change waits for other changes at this entry, in milliseconds.
const LOCK_TIMEOUT_MS: u64 = 5_000;
/// Attempts to resolve a write whose reply was lost.
const MAX_RESOLVE_ATTEMPTS: usize = 10;
/// Time after which the outcome of such a write is reported as unknown, in milliseconds.
const RESOLVE_TIMEOUT_MS: u64 = 4_000;
/// Pause between attempts to resolve a write, in milliseconds.
const RESOLVE_INTERVAL_MS: u64 = 100;

/// Result of an accepted change.
#[derive(Debug, Clone)]
pub(crate) struct AppliedChange {
    /// The head after the change.
    pub(crate) head: Head,
    /// The changed sections; empty if the document was already in force.
    pub(crate) sections: Vec<&'static str>,
    /// Human-readable differences.
    pub(crate) differences: Vec<Difference>,
}

/// The configuration in force and the version of its head row, zero if there is no row.
#[derive(Debug)]
struct Current {
    in_force: InForce,
    row_version: u64,
}

/// Outcome of a write.
#[derive(Debug, PartialEq, Eq)]
enum WriteResult {
    Accepted,
    /// Another change was written first; this one has no effect and never will.
    Superseded,
}

impl ConfigStore {
    /// Applies a change; returns `Ok` only once the platform has stored it.
    pub(crate) async fn apply(
        &self,
        operator: &OperatorSettings,
        change: &Change,
    ) -> Result<AppliedChange, ApplyError> {
        let result = self.apply_serialized(operator, change).await;
        let outcome = match &result {
            Ok(applied) if applied.sections.is_empty() => "unchanged",
            Ok(_) => "accepted",
            Err(error) => error.as_str(),
        };
        self.metrics.count(Counter::ConfigChanges, outcome);
        result
    }

    /// Returns what a change would do now, without applying it.
    pub(crate) async fn preview(
        &self,
        owned: &[String],
        change: &Change,
    ) -> Result<AppliedChange, ApplyError> {
        let current = self.read_current().await?;
        let draft = self.draft(owned, change, &current.in_force).await?;
        Ok(AppliedChange {
            differences: current.in_force.document.differences(&draft.document),
            sections: draft.changed,
            head: current.in_force.head,
        })
    }

    async fn apply_serialized(
        &self,
        operator: &OperatorSettings,
        change: &Change,
    ) -> Result<AppliedChange, ApplyError> {
        let _guard = self.lock_changes().await?;
        for _ in 0..MAX_APPLY_ATTEMPTS {
            let current = self.read_current().await?;
            let draft = self
                .draft(&operator.sections, change, &current.in_force)
                .await?;
            if draft.changed.is_empty() {
                return Ok(unchanged(current.in_force.head));
            }
            let differences = current.in_force.document.differences(&draft.document);
            let head = next_head(&current.in_force.head, operator, &draft);
            let sections = draft.changed.clone();
            if self.write(&current, &head, draft).await? == WriteResult::Accepted {
                return Ok(AppliedChange {
                    head,
                    sections,
                    differences,
                });
            }
            self.metrics.count(Counter::Retries, "config_race");
        }
        Err(ApplyError::Busy)
    }

    /// Serializes this entry's changes, so that they don't conflict with each other.
    async fn lock_changes(&self) -> Result<MutexGuard<'_, ()>, ApplyError> {
        timeout(
            Duration::from_millis(LOCK_TIMEOUT_MS),
            self.change_lock.lock(),
        )
        .await
        .map_err(|_| ApplyError::Busy)
    }

    /// Reads the head row, and its document unless this entry has it already.
    ///
    /// A newer document is applied here at once, so that an operator who gets a conflict can read
    /// the version that caused it. A head older than the one in force here means that the platform
    /// lost rows; no change is based on it.
    async fn read_current(&self) -> Result<Current, ApplyError> {
        let requested_at = self.timer.now();
        let row = self.read_head().await.map_err(ApplyError::Unavailable)?;
        let local = self.state.in_force().unwrap_or_else(InForce::empty);
        let (head, row_version) = row.unwrap_or_default();
        if head.version < local.head.version {
            let detail = format!(
                "the platform's head row went back to version {}",
                head.version
            );
            return Err(ApplyError::Unavailable(StoreError::Unavailable(detail)));
        }
        if head == local.head {
            return Ok(Current {
                in_force: local,
                row_version,
            });
        }
        let in_force = self
            .read_document_of(head)
            .await
            .map_err(ApplyError::Unavailable)?;
        self.state
            .record_head_read(requested_at, Some(in_force.clone()));
        Ok(Current {
            in_force,
            row_version,
        })
    }

    async fn draft(
        &self,
        owned: &[String],
        change: &Change,
        in_force: &InForce,
    ) -> Result<Draft, ApplyError> {
        let (text, based_on) = change.document(in_force)?;
        let proposal = Proposal::new(change, &text, based_on, in_force, owned)?;
        let bases = self.read_bases(&proposal.bases_needed()).await?;
        proposal.draft(&bases)
    }

    /// Reads sections at earlier versions, each version once.
    async fn read_bases(
        &self,
        needed: &[(&'static str, u64)],
    ) -> Result<Sections<Document>, ApplyError> {
        let mut versions: Vec<u64> = needed.iter().map(|(_, version)| *version).collect();
        versions.sort_unstable();
        versions.dedup();
        let mut bases = Sections::new();
        for version in versions.into_iter().filter(|version| *version > 0) {
            let base = self
                .at_version(version)
                .await
                .map_err(ApplyError::Unavailable)?
                .ok_or(ApplyError::UnknownBase(version))?;
            let mut sections = sections_of(&base.document, &base.text);
            for section in SECTIONS {
                if needed.contains(&(section, version))
                    && let Some(state) = sections.remove(section)
                {
                    bases.insert(section, state);
                }
            }
        }
        Ok(bases)
    }

    /// Writes the object, then the head and its history row in one transaction.
    async fn write(
        &self,
        current: &Current,
        head: &Head,
        draft: Draft,
    ) -> Result<WriteResult, ApplyError> {
        self.put_text(&head.object, &draft.text).await?;
        let requested_at = self.timer.now();
        let (change, roster_check) = self
            .state
            .begin_change(head.version, &draft.document)
            .ok_or_else(not_known_to_all)?;
        let transaction = accept_transaction(head, current.row_version, roster_check.clone())?;
        let result = match self.table.transact(transaction).await {
            Ok(TransactionOutcome::Committed) => WriteResult::Accepted,
            Ok(TransactionOutcome::Conflict { key }) if key == roster_check.key => {
                change.mark_not_applied();
                return Err(not_known_to_all());
            }
            Ok(TransactionOutcome::Conflict { .. }) => WriteResult::Superseded,
            Err(error @ StoreError::Unavailable(_)) => {
                change.mark_not_applied();
                return Err(ApplyError::Unavailable(error));
            }
            Err(StoreError::OutcomeUnknown(detail)) => self.resolve(current, head, detail).await?,
        };
        if result == WriteResult::Superseded {
            change.mark_not_applied();
        }
        if result == WriteResult::Accepted {
            let in_force = InForce {
                head: head.clone(),
                text: draft.text.into(),
                document: Arc::new(draft.document),
            };
            self.state.record_head_read(requested_at, Some(in_force));
        }
        Ok(result)
    }

    /// Writes the text. The object's name contains the text's digest, so the write is idempotent.
    async fn put_text(&self, object: &str, text: &str) -> Result<(), ApplyError> {
        match self.objects.put_object(object, text.to_owned()).await {
            Ok(()) => Ok(()),
            Err(error @ StoreError::Unavailable(_)) => Err(ApplyError::Unavailable(error)),
            Err(error @ StoreError::OutcomeUnknown(_)) => {
                match self.objects.get_object(object).await {
                    Ok(Some(stored)) if stored == text => Ok(()),
                    Ok(_) | Err(_) => Err(ApplyError::Unavailable(error)),
                }
            }
        }
    }

    /// Determines whether a write whose reply was lost took effect.
    ///
    /// The write may still be in flight and take effect after a read. So if its history row is
    /// missing, the head row is rewritten with its old value as a fence: whichever of the two
    /// writes comes first makes the other's version check fail. After that, the presence of the
    /// history row is final.
    async fn resolve(
        &self,
        current: &Current,
        head: &Head,
        detail: String,
    ) -> Result<WriteResult, ApplyError> {
        let started_at = self.timer.now();
        for _ in 0..MAX_RESOLVE_ATTEMPTS {
            if let Some(result) = self.try_resolve(current, head).await {
                self.metrics
                    .count(Counter::ConfigChanges, "settled_by_reading");
                return Ok(result);
            }
            if self.timer.now().millis_since(started_at) > RESOLVE_TIMEOUT_MS {
                break;
            }
            sleep(Duration::from_millis(RESOLVE_INTERVAL_MS)).await;
        }
        Err(ApplyError::OutcomeUnknown(head.version, detail))
    }

    async fn try_resolve(&self, current: &Current, head: &Head) -> Option<WriteResult> {
        if let Some(found) = self.read_history_row(head.version).await.ok()? {
            return Some(write_result(head, Some(&found)));
        }
        let fence = fence_transaction(&current.in_force.head, current.row_version).ok()?;
        self.table.transact(fence).await.ok()?;
        let found = self.read_history_row(head.version).await.ok()?;
        Some(write_result(head, found.as_ref()))
    }
}

const fn unchanged(head: Head) -> AppliedChange {
    AppliedChange {
        head,
        sections: Vec::new(),
        differences: Vec::new(),
    }
}

/// An entry that doesn't know this one yet would grant permits without waiting for its changes.
fn not_known_to_all() -> ApplyError {
    let detail = "not every entry on the roster knows this one yet; use another entry".to_owned();
    ApplyError::Unavailable(StoreError::Unavailable(detail))
}

fn write_result(head: &Head, found: Option<&Head>) -> WriteResult {
    if found == Some(head) {
        return WriteResult::Accepted;
    }
    WriteResult::Superseded
}

/// Returns the head that a change produces.
fn next_head(head: &Head, operator: &OperatorSettings, draft: &Draft) -> Head {
    let change = SectionHead {
        version: head.version + 1,
        author: operator.name.clone(),
        changed_at_ms: unix_ms(),
    };
    let digest = blake3::hash(draft.text.as_bytes()).to_hex();
    let object = format!("config-{}-{}", change.version, &digest[..16]);
    head.next(object, &draft.changed, &change)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Builds the transaction that puts a change in force.
///
/// The check of this entry's own row fails if the entry was removed from the roster while it was
/// paused: other entries no longer wait for its report on closed zones.
fn accept_transaction(
    head: &Head,
    row_version: u64,
    roster_check: Check,
) -> Result<Transaction, ApplyError> {
    let value = encode_head(head)?;
    Ok(Transaction {
        checks: vec![head_check(row_version), roster_check],
        puts: vec![
            head_put(value.clone()),
            Put {
                key: history_key(head.version),
                value: Some(value),
            },
        ],
    })
}

/// Rewrites the head row with its old value, which fences earlier writes.
fn fence_transaction(head: &Head, row_version: u64) -> Result<Transaction, ApplyError> {
    Ok(Transaction {
        checks: vec![head_check(row_version)],
        puts: vec![head_put(encode_head(head)?)],
    })
}

fn head_check(row_version: u64) -> Check {
    Check {
        key: HEAD_KEY.to_owned(),
        version: row_version,
    }
}

fn head_put(value: String) -> Put {
    Put {
        key: HEAD_KEY.to_owned(),
        value: Some(value),
    }
}

fn encode_head(head: &Head) -> Result<String, ApplyError> {
    serde_json::to_string(head)
        .map_err(|error| ApplyError::Unavailable(StoreError::Unavailable(error.to_string())))
}
