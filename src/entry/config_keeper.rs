//! Reads the configuration from the platform and writes operators' changes to it.

use {
    super::{EntryState, InForce},
    crate::{
        conf::{Fault, OperatorSettings, read_document},
        core::config::{Document, Head, SectionHead},
        ports::{
            Check, ObjectStore, Put, StoreError, Table, TimerService, Transaction,
            TransactionOutcome,
        },
    },
    quick_error::quick_error,
    std::sync::Arc,
    subtle::ConstantTimeEq,
};

/// Row that names the document in force.
const HEAD_KEY: &str = "config-head";
/// Prefix of the rows that keep earlier heads, one for each version.
const HISTORY_PREFIX: &str = "config-history-";

quick_error! {
    /// Why a change was not accepted.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ApplyError {
        /// The token is of no operator.
        Unauthorized {
            display("the token is not known")
        }
        /// The operator's token doesn't cover a section.
        Forbidden(section: String) {
            display("the token does not cover section \"{}\"", section)
        }
        /// The document has faults.
        Invalid(faults: Vec<Fault>) {
            display("the document has {} faults", faults.len())
        }
        /// Someone changed the configuration since.
        Conflict(head: Option<Head>) {
            display("the configuration has changed since")
        }
        /// The platform gave no answer, and nothing was changed.
        Store(error: StoreError) {
            display("{}", error)
        }
    }
}

/// Keeps the configuration in force current.
#[derive(Debug)]
pub(crate) struct ConfigKeeper {
    pub(crate) state: Arc<EntryState>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) operators: Vec<OperatorSettings>,
}

impl ConfigKeeper {
    /// Reads the head row, and the document if the head names a newer one.
    pub(crate) async fn refresh(&self) -> Result<(), StoreError> {
        let asked_at = self.timer.now();
        let Some((head, _)) = self.read_head().await? else {
            return Ok(());
        };
        let held = self.state.in_force().map_or(0, |held| held.head.version);
        if head.version <= held {
            self.state.head_read(asked_at, None);
            return Ok(());
        }
        let newer = self.read_document_of(head).await?;
        self.state.head_read(asked_at, Some(newer));
        Ok(())
    }

    /// The operator whose token this is.
    pub(crate) fn operator(&self, token: &str) -> Option<&OperatorSettings> {
        let digest = blake3::hash(token.as_bytes()).to_hex();
        self.operators.iter().find(|operator| {
            operator
                .token_blake3
                .as_bytes()
                .ct_eq(digest.as_bytes())
                .into()
        })
    }

    /// Puts a document in force that was made from version `based_on`.
    pub(crate) async fn apply(
        &self,
        operator: &OperatorSettings,
        text: &str,
        based_on: u64,
    ) -> Result<Head, ApplyError> {
        let document = read_document(text).map_err(ApplyError::Invalid)?;
        let row = self.read_head().await.map_err(ApplyError::Store)?;
        let current = match row {
            Some((head, row_version)) => {
                let in_force = self
                    .read_document_of(head)
                    .await
                    .map_err(ApplyError::Store)?;
                Some((in_force, row_version))
            }
            None => None,
        };
        let held_version = current.as_ref().map_or(0, |(held, _)| held.head.version);
        if held_version != based_on {
            return Err(ApplyError::Conflict(current.map(|(held, _)| held.head)));
        }
        let head = next_head(
            operator,
            current.as_ref().map(|(held, _)| held),
            &document,
            text,
        )?;
        let row_version = current.as_ref().map_or(0, |(_, row_version)| *row_version);
        self.write(&head, text, row_version).await?;
        self.refresh().await.map_err(ApplyError::Store)?;
        Ok(head)
    }

    async fn write(&self, head: &Head, text: &str, row_version: u64) -> Result<(), ApplyError> {
        self.objects
            .put_object(&head.object, text.to_owned())
            .await
            .map_err(ApplyError::Store)?;
        let value = encode_head(head)?;
        let transaction = Transaction {
            checks: vec![Check {
                key: HEAD_KEY.to_owned(),
                version: row_version,
            }],
            puts: vec![
                Put {
                    key: HEAD_KEY.to_owned(),
                    value: Some(value.clone()),
                },
                Put {
                    key: format!("{HISTORY_PREFIX}{:012}", head.version),
                    value: Some(value),
                },
            ],
        };
        match self.table.transact(transaction).await {
            Ok(TransactionOutcome::Committed) => Ok(()),
            Ok(TransactionOutcome::Conflict { .. }) => Err(ApplyError::Conflict(None)),
            Err(StoreError::Unavailable(detail)) => {
                Err(ApplyError::Store(StoreError::Unavailable(detail)))
            }
            Err(StoreError::OutcomeUnknown(detail)) => self.settle(head, detail).await,
        }
    }

    /// Finds out by reading whether a write took effect whose reply was lost.
    async fn settle(&self, head: &Head, detail: String) -> Result<(), ApplyError> {
        match self.read_head().await {
            Ok(Some((found, _))) if found == *head => Ok(()),
            Ok(found) => Err(ApplyError::Conflict(found.map(|(head, _)| head))),
            Err(_) => Err(ApplyError::Store(StoreError::OutcomeUnknown(detail))),
        }
    }

    /// The heads of all versions, oldest first.
    pub(crate) async fn history(&self) -> Result<Vec<Head>, StoreError> {
        let rows = self.table.scan(HISTORY_PREFIX).await?;
        Ok(rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect())
    }

    async fn read_head(&self) -> Result<Option<(Head, u64)>, StoreError> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        let head = serde_json::from_str(&row.value)
            .map_err(|error| StoreError::Unavailable(format!("unreadable head: {error}")))?;
        Ok(Some((head, row.version)))
    }

    async fn read_document_of(&self, head: Head) -> Result<InForce, StoreError> {
        let text = self
            .objects
            .get_object(&head.object)
            .await?
            .ok_or_else(|| StoreError::Unavailable(format!("no object {}", head.object)))?;
        let document = read_document(&text).map_err(|faults| {
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
}

fn encode_head(head: &Head) -> Result<String, ApplyError> {
    serde_json::to_string(head)
        .map_err(|error| ApplyError::Store(StoreError::Unavailable(error.to_string())))
}

/// The head after this change, if the operator may make it.
fn next_head(
    operator: &OperatorSettings,
    current: Option<&InForce>,
    document: &Document,
    text: &str,
) -> Result<Head, ApplyError> {
    let empty = Document::default();
    let before = current.map_or(&empty, |held| held.document.as_ref());
    let changed = before.changed_sections(document);
    if let Some(section) = changed
        .iter()
        .find(|section| !operator.sections.iter().any(|own| own == *section))
    {
        return Err(ApplyError::Forbidden((*section).to_owned()));
    }
    let version = current.map_or(0, |held| held.head.version) + 1;
    let mut sections = current
        .map(|held| held.head.sections.clone())
        .unwrap_or_default();
    for section in changed {
        let change = SectionHead {
            version,
            author: operator.name.clone(),
        };
        sections.insert(section.to_owned(), change);
    }
    let digest = blake3::hash(text.as_bytes()).to_hex();
    Ok(Head {
        version,
        object: format!("config-{version}-{}", &digest[..16]),
        sections,
    })
}
