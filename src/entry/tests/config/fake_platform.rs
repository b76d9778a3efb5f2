//! In-memory table and object store with seeded latencies and faults.

use {
    super::{CallFault, FAULTS},
    crate::{
        core::{roster::entry_key, time::Instant},
        entry::EntryState,
        ports::{Check, ObjectStore, Put, Row, StoreError, Table, Transaction, TransactionOutcome},
        standin::PlatformStore,
    },
    async_trait::async_trait,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Timeout of a caller whose call or reply is lost, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_500;

#[derive(Debug)]
struct Inner {
    store: PlatformStore,
    rng: ChaCha8Rng,
    fault_percent: u32,
    scripted: VecDeque<CallFault>,
    calls: usize,
    watched_entries: Vec<(Arc<EntryState>, u64)>,
}

/// A platform that refuses calls, loses calls and replies, and delays writes.
#[derive(Debug)]
pub(super) struct FakePlatform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
enum Write {
    Rows(Transaction),
    Object(String, String),
}

impl FakePlatform {
    pub(super) fn new(seed: u64) -> Arc<Self> {
        let inner = Inner {
            store: PlatformStore::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault_percent: 0,
            scripted: VecDeque::new(),
            calls: 0,
            watched_entries: Vec::new(),
        };
        Arc::new(Self {
            inner: Arc::new(Mutex::new(inner)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic before")
    }

    /// Writes an entry's roster row unless it exists, and applies a roster scan at the entry.
    pub(super) fn register_entry(&self, state: &EntryState) {
        let row = state.roster_row();
        let key = entry_key(row.entry.entry);
        let value = serde_json::to_string(&row).expect("row");
        let write = Transaction {
            checks: vec![Check {
                key: key.clone(),
                version: 0,
            }],
            puts: vec![Put {
                key,
                value: Some(value),
            }],
        };
        self.lock().store.transact(write);
        state.apply_roster_scan(Instant::default(), vec![row], &BTreeMap::new());
    }

    /// Sets the percentage of calls with a random fault.
    pub(super) fn set_fault_percent(&self, percent: u32) {
        self.lock().fault_percent = percent;
    }

    /// Sets the faults of the next calls; later calls get random faults again.
    pub(super) fn script_faults(&self, faults: &[CallFault]) {
        self.lock().scripted.extend(faults);
    }

    /// Stops injecting faults.
    pub(super) fn clear_faults(&self) {
        let mut inner = self.lock();
        inner.scripted.clear();
        inner.fault_percent = 0;
    }

    /// Returns and resets the number of calls.
    pub(super) fn drain_call_count(&self) -> usize {
        std::mem::take(&mut self.lock().calls)
    }

    /// Fails the test if this entry's version in force ever decreases.
    pub(super) fn watch_version(&self, state: &Arc<EntryState>) {
        self.lock().watched_entries.push((Arc::clone(state), 0));
    }

    /// Waits for the network latency and selects a fault.
    async fn start_call(&self) -> CallFault {
        let (latency_ms, fault) = {
            let mut inner = self.lock();
            inner.calls += 1;
            let latency_ms = inner.latency_ms();
            (latency_ms, inner.next_fault())
        };
        sleep(Duration::from_millis(latency_ms)).await;
        self.lock().check_watched();
        if matches!(fault, CallFault::CallLost | CallFault::Delayed) {
            sleep(Duration::from_millis(CALLER_TIMEOUT_MS)).await;
        }
        fault
    }

    async fn read<T>(&self, read: impl FnOnce(&PlatformStore) -> T) -> Result<T, StoreError> {
        let fault = self.start_call().await;
        match fault {
            CallFault::None => Ok(read(&self.lock().store)),
            CallFault::Unavailable => Err(StoreError::Unavailable("down".to_owned())),
            CallFault::ReplyLost | CallFault::CallLost | CallFault::Delayed => Err(timed_out()),
        }
    }

    async fn write(&self, write: Write) -> Result<TransactionOutcome, StoreError> {
        match self.start_call().await {
            CallFault::None => Ok(self.lock().store.apply_write(write)),
            CallFault::Unavailable => Err(StoreError::Unavailable("down".to_owned())),
            CallFault::ReplyLost => {
                self.lock().store.apply_write(write);
                Err(timed_out())
            }
            CallFault::CallLost => Err(timed_out()),
            CallFault::Delayed => {
                let inner = Arc::clone(&self.inner);
                let delay_ms = self.lock().rng.random_range(0..8_000);
                tokio::spawn(async move {
                    sleep(Duration::from_millis(delay_ms)).await;
                    inner
                        .lock()
                        .expect("no panic before")
                        .store
                        .apply_write(write);
                });
                Err(timed_out())
            }
        }
    }
}

impl Inner {
    /// Returns a few milliseconds; one call in twenty takes up to six seconds.
    fn latency_ms(&mut self) -> u64 {
        match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..6_000),
            _ => self.rng.random_range(0..20),
        }
    }

    fn next_fault(&mut self) -> CallFault {
        if let Some(fault) = self.scripted.pop_front() {
            return fault;
        }
        if self.rng.random_range(0..100) >= self.fault_percent {
            return CallFault::None;
        }
        FAULTS[self.rng.random_range(0..FAULTS.len())]
    }

    fn check_watched(&mut self) {
        for (state, before) in &mut self.watched_entries {
            let now = state.in_force().map_or(0, |in_force| in_force.head.version);
            assert!(
                now >= *before,
                "the version in force went from {before} to {now}"
            );
            *before = now;
        }
    }
}

impl PlatformStore {
    fn apply_write(&mut self, write: Write) -> TransactionOutcome {
        match write {
            Write::Rows(transaction) => self.transact(transaction),
            Write::Object(name, body) => {
                self.put_object(name, body);
                TransactionOutcome::Committed
            }
        }
    }
}

fn timed_out() -> StoreError {
    StoreError::OutcomeUnknown("timed out".to_owned())
}

#[async_trait]
impl Table for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.read(|store| store.get(key).cloned()).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        self.read(|store| store.scan(prefix)).await
    }

    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        self.write(Write::Rows(transaction)).await
    }
}

#[async_trait]
impl ObjectStore for FakePlatform {
    async fn get_object(&self, name: &str) -> Result<Option<String>, StoreError> {
        self.read(|store| store.object(name).cloned()).await
    }

    async fn put_object(&self, name: &str, body: String) -> Result<(), StoreError> {
        self.write(Write::Object(name.to_owned(), body))
            .await
            .map(|_| ())
    }
}
