//! Binds clients' idempotency keys to tickets in the platform's table.

use {
    super::EntryState,
    crate::{
        core::{
            claim::{Claim, ClaimAction, ClaimError, ClaimId, ClaimQueue, WriteOutcome},
            ticket::Ticket,
            verdict::{MayHaveRunReason, NotRunReason, Verdict},
        },
        ports::{Check, Put, StoreError, Table, TimerService, Transaction, TransactionOutcome},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// Retry delay sent to clients while the store is unavailable, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 2_000;
/// Retry delay sent to clients while no home grants tickets, in milliseconds.
const TICKET_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to clients while the claim queue is full, in milliseconds.
const BUDGET_RETRY_AFTER_MS: u64 = 1_000;
/// Claim writes per second of one entry; all entries together must stay below the store's limit.
const WRITES_PER_S: u32 = 50;
/// Maximum number of queued claims.
const MAX_QUEUED_CLAIMS: usize = 2_048;
/// Reads beyond this number are refused.
const MAX_CONCURRENT_READS: usize = 256;
const MAX_CACHED_BINDINGS: usize = 20_000;
/// Interval at which queued claims are checked against the write budget, in milliseconds.
const QUEUE_POLL_INTERVAL_MS: u64 = 5;

type ReplySender = oneshot::Sender<Result<Ticket, ClaimError>>;

#[derive(Debug)]
struct Inner {
    queue: ClaimQueue,
    waiters: BTreeMap<ClaimId, ReplySender>,
    next_id: u64,
    cache: BTreeMap<String, Ticket>,
    cache_order: VecDeque<String>,
}

/// Binds keys to tickets.
#[derive(Debug)]
pub(crate) struct Claims {
    state: Arc<EntryState>,
    table: Arc<dyn Table>,
    timer: Arc<dyn TimerService>,
    reads: tokio::sync::Semaphore,
    inner: Mutex<Inner>,
}

impl Claims {
    /// Creates an empty queue and cache.
    pub(crate) fn new(
        state: Arc<EntryState>,
        table: Arc<dyn Table>,
        timer: Arc<dyn TimerService>,
    ) -> Self {
        Self {
            state,
            table,
            timer,
            reads: tokio::sync::Semaphore::new(MAX_CONCURRENT_READS),
            inner: Mutex::new(Inner {
                queue: ClaimQueue::new(MAX_QUEUED_CLAIMS, WRITES_PER_S),
                waiters: BTreeMap::new(),
                next_id: 0,
                cache: BTreeMap::new(),
                cache_order: VecDeque::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes queued claims at the allowed rate until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.timer.subscribe(QUEUE_POLL_INTERVAL_MS);
        while ticks.recv().await.is_some() {
            let actions = self.lock().queue.start_next_write(self.timer.now());
            self.execute(actions);
        }
    }

    /// Returns the ticket that a team's key is bound to; binds a new one if the key is new.
    ///
    /// The row is written only if it is absent, so a client that resubmits under the same key
    /// through another entry gets the same ticket. If the reply to the write is lost, the row is
    /// read back.
    pub(crate) async fn ticket_for(
        self: &Arc<Self>,
        team: &str,
        key: &str,
    ) -> Result<Ticket, Verdict> {
        let row = row_key(team, key);
        if let Some(ticket) = self.lookup(team, key).await? {
            self.cache_binding(row, ticket);
            return Ok(ticket);
        }
        let new_ticket = self.state.mint(1).pop().ok_or(Verdict::NotRun {
            reason: NotRunReason::NoTickets,
            retry_after_ms: TICKET_RETRY_AFTER_MS,
        })?;
        let ticket = self
            .bind(row.clone(), new_ticket)
            .await
            .map_err(not_bound_verdict)?;
        self.cache_binding(row, ticket);
        Ok(ticket)
    }

    /// Returns the ticket that a team's key is bound to, if any.
    pub(crate) async fn lookup(&self, team: &str, key: &str) -> Result<Option<Ticket>, Verdict> {
        let row = row_key(team, key);
        let cached = self.lock().cache.get(&row).copied();
        match cached {
            Some(ticket) => Ok(Some(ticket)),
            None => self.find_binding(&row).await,
        }
    }

    /// Reads an earlier binding from the table.
    ///
    /// If the read fails or is refused, the key may already be bound and its job may have run, so
    /// the verdict is "may have run".
    async fn find_binding(&self, row: &str) -> Result<Option<Ticket>, Verdict> {
        let unknown = Verdict::MayHaveRun {
            reason: MayHaveRunReason::StoreUnavailable,
            retry_after_ms: STORE_RETRY_AFTER_MS,
        };
        let Ok(_permit) = self.reads.try_acquire() else {
            return Err(unknown);
        };
        self.read_binding(row).await.map_err(|_| unknown)
    }

    async fn bind(self: &Arc<Self>, row: String, new_ticket: Ticket) -> Result<Ticket, ClaimError> {
        let (reply, bound) = oneshot::channel();
        let actions = {
            let mut inner = self.lock();
            inner.next_id += 1;
            let id = ClaimId(inner.next_id);
            inner.waiters.insert(id, reply);
            inner.queue.submit(
                self.timer.now(),
                Claim {
                    id,
                    row,
                    new_ticket,
                },
            )
        };
        self.execute(actions);
        bound.await.unwrap_or(Err(ClaimError::StoreUnavailable))
    }

    fn execute(self: &Arc<Self>, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Write(claims) => {
                    tokio::spawn(Arc::clone(self).write(claims));
                }
                ClaimAction::Read(id, row) => {
                    tokio::spawn(Arc::clone(self).read(id, row));
                }
                ClaimAction::Bound(id, ticket) => self.reply(id, Ok(ticket)),
                ClaimAction::Failed(id, error) => self.reply(id, Err(error)),
            }
        }
    }

    fn reply(&self, id: ClaimId, result: Result<Ticket, ClaimError>) {
        if let Some(reply) = self.lock().waiters.remove(&id) {
            // A client that has disconnected retries with the same key.
            let _ = reply.send(result);
        }
    }

    async fn write(self: Arc<Self>, claims: Vec<Claim>) {
        let outcome = match self.table.transact(insert_if_absent(&claims)).await {
            Ok(TransactionOutcome::Committed) => WriteOutcome::Committed,
            Ok(TransactionOutcome::Conflict { key }) => WriteOutcome::Conflict(key),
            Err(StoreError::Unavailable(_)) => WriteOutcome::Unavailable,
            Err(StoreError::OutcomeUnknown(_)) => WriteOutcome::Unknown,
        };
        let actions = self
            .lock()
            .queue
            .handle_write_outcome(self.timer.now(), &outcome);
        self.execute(actions);
    }

    async fn read(self: Arc<Self>, id: ClaimId, row: String) {
        let found = self.read_binding(&row).await.ok().flatten();
        self.reply(id, found.ok_or(ClaimError::StoreUnavailable));
    }

    async fn read_binding(&self, row: &str) -> Result<Option<Ticket>, StoreError> {
        let row = self.table.get(row).await?;
        Ok(row.and_then(|row| row.value.parse().ok()))
    }

    /// Caches a binding; bindings never change, so the cache is only limited in size.
    fn cache_binding(&self, row: String, ticket: Ticket) {
        let mut inner = self.lock();
        if inner.cache.insert(row.clone(), ticket).is_none() {
            inner.cache_order.push_back(row);
        }
        if inner.cache_order.len() > MAX_CACHED_BINDINGS
            && let Some(oldest) = inner.cache_order.pop_front()
        {
            inner.cache.remove(&oldest);
        }
    }
}

fn insert_if_absent(claims: &[Claim]) -> Transaction {
    Transaction {
        checks: claims
            .iter()
            .map(|claim| Check {
                key: claim.row.clone(),
                version: 0,
            })
            .collect(),
        puts: claims
            .iter()
            .map(|claim| Put {
                key: claim.row.clone(),
                value: Some(claim.new_ticket.to_string()),
            })
            .collect(),
    }
}

/// The key was read as unbound and the new ticket stays unused, so nothing ran under the key.
const fn not_bound_verdict(error: ClaimError) -> Verdict {
    match error {
        ClaimError::QueueFull => Verdict::NotRun {
            reason: NotRunReason::ClaimBudget,
            retry_after_ms: BUDGET_RETRY_AFTER_MS,
        },
        ClaimError::StoreUnavailable => Verdict::NotRun {
            reason: NotRunReason::StoreUnavailable,
            retry_after_ms: STORE_RETRY_AFTER_MS,
        },
    }
}

/// Hashes team and key, so that row keys have a fixed size and charset.
fn row_key(team: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.as_bytes());
    format!("claims-{}", hasher.finalize().to_hex())
}
