//! Model of the platform's store with injected faults.

use {
    super::host_model::{HostModel, windows},
    crate::{
        core::{
            document::Document, entry_list::EntryListReplica, link::EvacuatedZones,
            work::WorkerView,
        },
        ports::{EntryListUpdate, OperatorChange, OperatorRows, SiteStore, StoreError},
    },
    async_trait::async_trait,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// Latency of a call without faults.
const CALL_MS: u64 = 4;
/// Zone that the operator evacuates.
pub(super) const ZONE: &str = "north";
/// Number of the first agent's host; entries are numbered from zero.
pub(super) const FIRST_AGENT: usize = 1_000;
/// Timeout of a read.
const CALL_TIMEOUT_MS: u64 = 1_000;
const FEED_TIMEOUT_SLACK_MS: u64 = 500;

/// Fault injected into the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::site_entry::tests) enum StoreFault {
    /// Multiplies the latency of calls.
    Slow(u64),
    /// No call gets a response.
    Unresponsive,
    /// Every call is refused.
    RefusesAll,
    /// Only one call in this many gets a response.
    DropsResponses(u64),
    /// Feeds fail.
    FeedsFail,
    /// Feeds report no change.
    FeedsMissChanges,
    /// Reads return the rows of this many milliseconds ago.
    StaleReads(u64),
    /// Refuses hosts whose number modulo the first value equals the second.
    RefusesSome(usize, usize),
    /// Refuses all entries and serves agents.
    RefusesEntries,
}

impl StoreFault {
    /// Whether the fault affects only some hosts.
    pub(super) const fn is_partial(self) -> bool {
        matches!(self, Self::RefusesSome(..) | Self::RefusesEntries)
    }
}

/// The operators' rows as of one write.
#[derive(Debug, Clone)]
struct Rows {
    since: Instant,
    rows: OperatorRows,
}

#[derive(Debug)]
struct StoreState {
    rows: Vec<Rows>,
    /// Changes up to this version are discarded from the history.
    history_after: u64,
    faults: BTreeMap<StoreFault, Instant>,
    calls: u64,
    /// Calls made while responses are dropped.
    responses: u64,
    /// When the last fault of all hosts, or of some hosts, ended or will end.
    disturbed_at: Instant,
    partly_disturbed_at: Instant,
}

#[derive(Debug)]
pub(super) struct StoreModel {
    state: Mutex<StoreState>,
    changed: Notify,
}

impl StoreModel {
    pub(super) fn new(document: Arc<[u8]>) -> Self {
        let now = Instant::now();
        let zones = EvacuatedZones {
            version: 1,
            evacuated: BTreeSet::new(),
        };
        let document = Some(Document {
            revision: 1,
            text: document,
        });
        let rows = OperatorRows { zones, document };
        Self {
            state: Mutex::new(StoreState {
                rows: vec![Rows { since: now, rows }],
                history_after: 0,
                faults: BTreeMap::new(),
                calls: 0,
                responses: 0,
                disturbed_at: now,
                partly_disturbed_at: now,
            }),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("lock")
    }

    pub(super) fn calls(&self) -> u64 {
        self.state().calls
    }

    fn newest(&self) -> OperatorRows {
        self.state().rows.last().expect("rows").rows.clone()
    }

    /// Writes as the operator, whom no fault affects.
    fn write(&self, change: impl FnOnce(&mut OperatorRows)) {
        let mut rows = self.newest();
        // Writes to other tables advance the store version, too.
        rows.zones.version += 3;
        change(&mut rows);
        let since = Instant::now();
        self.state().rows.push(Rows { since, rows });
        self.changed.notify_waiters();
    }

    pub(super) fn write_document(&self, text: Arc<[u8]>) {
        self.write(|rows| {
            let revision = rows.zones.version;
            rows.document = Some(Document { revision, text });
        });
    }

    pub(super) fn write_zones(&self, zones: &BTreeSet<String>) {
        self.write(|rows| rows.zones.evacuated.clone_from(zones));
    }

    pub(super) fn discard_history(&self) {
        let history_after = self.newest().zones.version;
        let mut state = self.state();
        state.history_after = history_after;
        state.disturbed_at = state.disturbed_at.max(Instant::now());
        drop(state);
        self.changed.notify_waiters();
    }

    pub(super) fn fail(&self, fault: StoreFault, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        let mut state = self.state();
        state.faults.insert(fault, until);
        if fault.is_partial() {
            state.partly_disturbed_at = state.partly_disturbed_at.max(until);
        } else {
            state.disturbed_at = state.disturbed_at.max(until);
        }
    }

    /// Time since the last fault; `partly` ignores faults that affect only some hosts.
    pub(super) fn undisturbed_for(&self, partly: bool) -> Duration {
        let state = self.state();
        let disturbed_at = if partly {
            state.disturbed_at
        } else {
            state.disturbed_at.max(state.partly_disturbed_at)
        };
        Instant::now().saturating_duration_since(disturbed_at)
    }

    fn faults(&self) -> Vec<StoreFault> {
        let now = Instant::now();
        let state = self.state();
        let active = state.faults.iter().filter(|(_, until)| **until > now);
        active.map(|(fault, _)| *fault).collect()
    }

    /// Whether the response to the next call is dropped; one in `of` is not.
    fn drops_response(&self, of: u64) -> bool {
        let mut state = self.state();
        state.responses += 1;
        !state.responses.is_multiple_of(of)
    }

    /// Returns the rows that a read sees.
    fn read(&self) -> OperatorRows {
        let stale_ms = self.faults().into_iter().find_map(|fault| match fault {
            StoreFault::StaleReads(ms) => Some(ms),
            _ => None,
        });
        let at = Instant::now() - Duration::from_millis(stale_ms.unwrap_or(0));
        let state = self.state();
        let rows = state.rows.iter().rev().find(|rows| rows.since <= at);
        rows.unwrap_or(&state.rows[0]).rows.clone()
    }
}

/// Client of the store on one host.
#[derive(Debug)]
pub(super) struct StoreClient {
    pub(super) store: Arc<StoreModel>,
    pub(super) host: Arc<HostModel>,
    /// Number of the entry, or [`FIRST_AGENT`] and more for agents.
    pub(super) number: usize,
}

fn refused<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable("refused".to_owned()))
}

fn response_bytes(document: Option<&Document>) -> usize {
    // Values are base64-encoded.
    document.map_or(100, |document| 100 + document.text.len() * 4 / 3)
}

impl StoreClient {
    /// Delays or fails a call according to the active faults.
    async fn apply_faults(&self) -> Result<(), StoreError> {
        self.host.wait_while_frozen().await;
        self.store.state().calls += 1;
        let mut factor = 1;
        for fault in self.store.faults() {
            match fault {
                StoreFault::Slow(times) => factor = times,
                StoreFault::Unresponsive => std::future::pending().await,
                StoreFault::RefusesAll => return refused(),
                StoreFault::DropsResponses(of) if self.store.drops_response(of) => {
                    std::future::pending().await
                }
                StoreFault::RefusesSome(of, rem) if self.number % of == rem => return refused(),
                StoreFault::RefusesEntries if self.number < FIRST_AGENT => return refused(),
                _ => {}
            }
        }
        sleep(Duration::from_millis(CALL_MS * factor)).await;
        Ok(())
    }

    /// Times out a call whose response does not begin in time.
    async fn with_timeout<T>(
        &self,
        timeout_ms: u64,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limited = timeout(Duration::from_millis(timeout_ms), call).await;
        limited.unwrap_or_else(|_| Err(StoreError::OutcomeUnknown("timed out".to_owned())))
    }

    async fn receive(&self, bytes: usize) {
        for window in windows(bytes) {
            self.host.receive(window).await;
        }
    }

    async fn feed(&self, after: u64, wait_ms: u64) -> Result<OperatorChange, StoreError> {
        self.apply_faults().await?;
        if self.store.faults().contains(&StoreFault::FeedsFail) {
            return refused();
        }
        if self.store.faults().contains(&StoreFault::FeedsMissChanges) {
            sleep(Duration::from_millis(wait_ms)).await;
            let version = self.store.newest().zones.version;
            return Ok(OperatorChange::None { version });
        }
        let waiting = async {
            loop {
                let changed = self.store.changed.notified();
                let change = self.change_after(after);
                if !matches!(change, OperatorChange::None { .. }) {
                    return change;
                }
                changed.await;
            }
        };
        let change = timeout(Duration::from_millis(wait_ms), waiting).await;
        Ok(change.unwrap_or_else(|_| self.change_after(after)))
    }

    fn change_after(&self, after: u64) -> OperatorChange {
        let (newest, history_after) = (self.store.newest(), self.store.state().history_after);
        let version = newest.zones.version;
        if after < history_after {
            return OperatorChange::HistoryUnavailable;
        }
        if version <= after {
            return OperatorChange::None { version };
        }
        let is_evacuated = newest.zones.evacuated.contains(ZONE);
        OperatorChange::Rows {
            version,
            zones: BTreeMap::from([(ZONE.to_owned(), is_evacuated)]),
            document: newest.document.filter(|document| document.revision > after),
        }
    }
}

#[async_trait]
impl SiteStore for StoreClient {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        self.with_timeout(CALL_TIMEOUT_MS, self.apply_faults())
            .await?;
        let rows = self.store.read();
        self.receive(response_bytes(rows.document.as_ref())).await;
        Ok(rows)
    }

    async fn read_evacuated_zones(&self) -> Result<EvacuatedZones, StoreError> {
        self.with_timeout(CALL_TIMEOUT_MS, self.apply_faults())
            .await?;
        Ok(self.store.read().zones)
    }

    async fn wait_for_operator_change(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<OperatorChange, StoreError> {
        let change = self.feed(after, wait_ms);
        let change = self
            .with_timeout(wait_ms + FEED_TIMEOUT_SLACK_MS, change)
            .await?;
        if let OperatorChange::Rows { document, .. } = &change {
            self.receive(response_bytes(document.as_ref())).await;
        }
        Ok(change)
    }

    async fn read_entries(
        &self,
        _: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        refused()
    }

    async fn wait_for_entry_list_update(
        &self,
        _: EntryListReplica,
        _: u64,
        _: u64,
    ) -> Result<EntryListUpdate, StoreError> {
        refused()
    }

    async fn add_entry(&self, _: SocketAddr, _: EntryListReplica) -> Result<bool, StoreError> {
        refused()
    }

    async fn remove_entry(&self, _: SocketAddr, _: EntryListReplica) -> Result<(), StoreError> {
        refused()
    }

    async fn read_worker(&self, _: &str) -> Result<Option<WorkerView>, StoreError> {
        refused()
    }

    async fn store_worker(&self, _: &str, _: &WorkerView) -> Result<(), StoreError> {
        refused()
    }
}
