//! Clients' own keys, bound to tickets in the platform's table.

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

/// When to come back while the store is down, in milliseconds.
const STORE_RETRY_AFTER_MS: u64 = 2_000;
/// When to come back while no home grants tickets, in milliseconds.
const TICKET_RETRY_AFTER_MS: u64 = 500;
/// When to come back while too many keys wait to be bound, in milliseconds.
const BUDGET_RETRY_AFTER_MS: u64 = 1_000;
/// Writes a second that one entry makes for claims, out of several hundred for everybody.
const WRITES_PER_S: u32 = 50;
/// Most keys that wait to be bound: about a second's worth of full writes.
const MAX_WAITING: usize = 2_048;
/// Most reads of the table under way; what goes beyond is refused.
const MAX_READS: usize = 256;
/// Most bindings remembered.
const MAX_REMEMBERED: usize = 20_000;
/// Pause between looks at the write budget, in milliseconds.
const PUMP_MS: u64 = 5;

type BoundReply = oneshot::Sender<Result<Ticket, ClaimError>>;

#[derive(Debug)]
struct Inner {
    queue: ClaimQueue,
    waiters: BTreeMap<ClaimId, BoundReply>,
    next_id: u64,
    remembered: BTreeMap<String, Ticket>,
    order: VecDeque<String>,
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
    /// No key bound yet.
    pub(crate) fn new(
        state: Arc<EntryState>,
        table: Arc<dyn Table>,
        timer: Arc<dyn TimerService>,
    ) -> Self {
        Self {
            state,
            table,
            timer,
            reads: tokio::sync::Semaphore::new(MAX_READS),
            inner: Mutex::new(Inner {
                queue: ClaimQueue::new(MAX_WAITING, WRITES_PER_S),
                waiters: BTreeMap::new(),
                next_id: 0,
                remembered: BTreeMap::new(),
                order: VecDeque::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Paces the writes until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.timer.subscribe(PUMP_MS);
        while ticks.recv().await.is_some() {
            let actions = self.lock().queue.start_next_write(self.timer.now());
            self.carry_out(actions);
        }
    }

    /// The ticket that a team's key is bound to; binds a fresh one if the key is new.
    ///
    /// Guards against a second start when a client resubmits under its own key through another
    /// entry: the row is written only if it is absent, and whoever finds it uses its ticket. A
    /// reply that was lost is settled by reading the row.
    pub(crate) async fn ticket_for(
        self: &Arc<Self>,
        team: &str,
        key: &str,
    ) -> Result<Ticket, Verdict> {
        let row = row_key(team, key);
        if let Some(ticket) = self.lookup(team, key).await? {
            self.remember(row, ticket);
            return Ok(ticket);
        }
        let fresh = self.state.mint(1).pop().ok_or(Verdict::NotRun {
            reason: NotRunReason::NoTickets,
            retry_after_ms: TICKET_RETRY_AFTER_MS,
        })?;
        let ticket = self.bind(row.clone(), fresh).await.map_err(not_bound)?;
        self.remember(row, ticket);
        Ok(ticket)
    }

    /// The ticket that a team's key is bound to, if it is.
    pub(crate) async fn lookup(&self, team: &str, key: &str) -> Result<Option<Ticket>, Verdict> {
        let row = row_key(team, key);
        let remembered = self.lock().remembered.get(&row).copied();
        match remembered {
            Some(ticket) => Ok(Some(ticket)),
            None => self.find(&row).await,
        }
    }

    /// Looks for an earlier binding.
    ///
    /// Guards against a false "not run": while the table can't be read nobody knows whether the
    /// key was submitted before and its job ran, so the client hears that it may have, and when
    /// to ask again with the same key.
    async fn find(&self, row: &str) -> Result<Option<Ticket>, Verdict> {
        let unknown = Verdict::MayHaveRun {
            reason: MayHaveRunReason::StoreUnavailable,
            retry_after_ms: STORE_RETRY_AFTER_MS,
        };
        let Ok(_permit) = self.reads.try_acquire() else {
            return Err(unknown);
        };
        self.bound(row).await.map_err(|_| unknown)
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
        self.carry_out(actions);
        bound.await.unwrap_or(Err(ClaimError::StoreUnavailable))
    }

    fn carry_out(self: &Arc<Self>, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Write(claims) => {
                    tokio::spawn(Arc::clone(self).write(claims));
                }
                ClaimAction::Read(id, row) => {
                    tokio::spawn(Arc::clone(self).read(id, row));
                }
                ClaimAction::Bound(id, ticket) => self.reply(id, Ok(ticket)),
                ClaimAction::Failed(id, fault) => self.reply(id, Err(fault)),
            }
        }
    }

    fn reply(&self, id: ClaimId, result: Result<Ticket, ClaimError>) {
        if let Some(reply) = self.lock().waiters.remove(&id) {
            // A client that is gone asks again with the same key.
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
        self.carry_out(actions);
    }

    async fn read(self: Arc<Self>, id: ClaimId, row: String) {
        let found = self.bound(&row).await.ok().flatten();
        self.reply(id, found.ok_or(ClaimError::StoreUnavailable));
    }

    async fn bound(&self, row: &str) -> Result<Option<Ticket>, StoreError> {
        let row = self.table.get(row).await?;
        Ok(row.and_then(|row| row.value.parse().ok()))
    }

    /// Bindings never change, so a remembered one needs no store.
    fn remember(&self, row: String, ticket: Ticket) {
        let mut inner = self.lock();
        if inner.remembered.insert(row.clone(), ticket).is_none() {
            inner.order.push_back(row);
        }
        if inner.order.len() > MAX_REMEMBERED
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.remembered.remove(&oldest);
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

/// The key was read as unbound, so nothing ran under it, and this request's ticket is not used.
const fn not_bound(fault: ClaimError) -> Verdict {
    match fault {
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

/// Team and key are hashed together, so that any text makes a row key of fixed size.
fn row_key(team: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes());
    hasher.update(team.as_bytes());
    hasher.update(key.as_bytes());
    format!("claims-{}", hasher.finalize().to_hex())
}
