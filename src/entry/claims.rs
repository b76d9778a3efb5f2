//! Clients' own keys, bound to tickets in the platform's table.

use {
    super::EntryState,
    crate::{
        core::{
            ticket::Ticket,
            verdict::{NotRunReason, Verdict},
        },
        ports::{Check, Put, StoreError, Table, Transaction, TransactionOutcome},
    },
    std::sync::Arc,
};

/// When to come back while the store is down, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 2_000;
/// When to come back while no home grants tickets, in milliseconds.
const TICKET_RETRY_AFTER_MS: u64 = 500;

/// Binds keys to tickets.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(crate) state: Arc<EntryState>,
    pub(crate) table: Arc<dyn Table>,
}

impl Claims {
    /// The ticket that a team's key is bound to; binds a fresh one if the key is new.
    ///
    /// Guards against a second start when a client resubmits under its own key through another
    /// entry: the row is written only if it is absent, and whoever finds it uses its ticket. A
    /// reply that was lost is settled by reading the row.
    pub(crate) async fn ticket_for(&self, team: &str, key: &str) -> Result<Ticket, Verdict> {
        let row = row_key(team, key);
        if let Some(ticket) = self.bound(&row).await? {
            return Ok(ticket);
        }
        let fresh = self.state.mint(1).pop().ok_or(Verdict::NotRun {
            reason: NotRunReason::NoTickets,
            retry_after_ms: TICKET_RETRY_AFTER_MS,
        })?;
        let transaction = Transaction {
            checks: vec![Check {
                key: row.clone(),
                version: 0,
            }],
            puts: vec![Put {
                key: row.clone(),
                value: Some(fresh.to_string()),
            }],
        };
        match self.table.transact(transaction).await {
            Ok(TransactionOutcome::Committed) => Ok(fresh),
            Ok(TransactionOutcome::Conflict { .. }) | Err(StoreError::OutcomeUnknown(_)) => {
                self.bound(&row).await?.ok_or_else(store_unavailable)
            }
            Err(StoreError::Unavailable(_)) => Err(store_unavailable()),
        }
    }

    async fn bound(&self, row: &str) -> Result<Option<Ticket>, Verdict> {
        let row = self.table.get(row).await.map_err(|_| store_unavailable())?;
        Ok(row.and_then(|row| row.value.parse().ok()))
    }
}

const fn store_unavailable() -> Verdict {
    Verdict::NotRun {
        reason: NotRunReason::StoreUnavailable,
        retry_after_ms: STORE_RETRY_AFTER_MS,
    }
}

/// Team and key are hashed together, so that any text makes a row key of fixed size.
fn row_key(team: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.as_bytes());
    format!("claims-{}", hasher.finalize().to_hex())
}
