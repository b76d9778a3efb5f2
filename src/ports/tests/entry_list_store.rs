//! A store that holds only the list of entries and counts what is read from it.

use {
    crate::{
        core::{
            entry_list::{EntryListChange, EntryListReplica},
            link::EvacuatedZones,
            work::WorkerView,
        },
        ports::{EntryListUpdate, OperatorChange, OperatorRows, SiteStore, StoreError},
    },
    async_trait::async_trait,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time until a call without a response fails.
const UNRESPONSIVE_CALL: Duration = Duration::from_secs(1);

/// What one replica holds, and what was read.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    entries: BTreeSet<SocketAddr>,
    /// Changes with the versions that they created.
    history: Vec<(u64, EntryListChange)>,
    version: u64,
    /// Versions whose changes the history lacks.
    truncated_version: u64,
    pub(crate) is_down: bool,
    /// Whether calls get no response.
    pub(crate) is_unresponsive: bool,
    /// Stored view of a worker.
    pub(crate) worker: Option<WorkerView>,
    pub(crate) calls: usize,
    /// Rows in all responses.
    pub(crate) rows_read: usize,
}

/// A store whose replicas are always equal.
#[derive(Debug, Default)]
pub(crate) struct EntryListStore {
    state: Mutex<ListState>,
    changed: Notify,
}

impl EntryListStore {
    pub(crate) fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().expect("lock")
    }

    pub(crate) fn change(&self, entry: SocketAddr, is_listed: bool) {
        let mut state = self.state();
        let is_changed = match is_listed {
            true => state.entries.insert(entry),
            false => state.entries.remove(&entry),
        };
        if is_changed {
            state.version += 1;
            let change = EntryListChange { entry, is_listed };
            let version = state.version;
            state.history.push((version, change));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops the newest change from the feed without a trace.
    pub(crate) fn omit_newest_change(&self) {
        self.state().history.pop();
    }

    pub(crate) fn discard_history(&self) {
        let mut state = self.state();
        state.truncated_version = state.version;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.state().entries.iter().copied().collect()
    }

    fn begin_call(&self) -> Result<(), StoreError> {
        let mut state = self.state();
        state.calls += 1;
        if state.is_down {
            return unavailable();
        }
        Ok(())
    }

    /// Returns the response to a feed call if there is one already.
    fn update_after(&self, after: u64) -> Option<EntryListUpdate> {
        let mut state = self.state();
        if after < state.truncated_version {
            return Some(EntryListUpdate::HistoryUnavailable);
        }
        let changes = state.history.iter().filter(|(version, _)| *version > after);
        let changes: Vec<EntryListChange> = changes.map(|(_, change)| *change).collect();
        state.rows_read += changes.len();
        let version = state.version;
        (!changes.is_empty()).then_some(EntryListUpdate::Changes { version, changes })
    }
}

fn unavailable<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable("down".to_owned()))
}

#[async_trait]
impl SiteStore for EntryListStore {
    async fn read_operator_rows(&self) -> Result<OperatorRows, StoreError> {
        unavailable()
    }

    async fn read_evacuated_zones(&self) -> Result<EvacuatedZones, StoreError> {
        unavailable()
    }

    async fn wait_for_operator_change(&self, _: u64, _: u64) -> Result<OperatorChange, StoreError> {
        unavailable()
    }

    async fn read_entries(
        &self,
        _: EntryListReplica,
    ) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        self.begin_call()?;
        if self.state().is_unresponsive {
            sleep(UNRESPONSIVE_CALL).await;
            return unavailable();
        }
        let mut state = self.state();
        state.rows_read += state.entries.len();
        let entries = state.entries.iter().copied().collect();
        Ok((entries, state.version))
    }

    async fn wait_for_entry_list_update(
        &self,
        _: EntryListReplica,
        after: u64,
        wait_ms: u64,
    ) -> Result<EntryListUpdate, StoreError> {
        self.begin_call()?;
        let update = async {
            loop {
                let changed = self.changed.notified();
                if let Some(update) = self.update_after(after) {
                    return update;
                }
                changed.await;
            }
        };
        let waited = timeout(Duration::from_millis(wait_ms), update).await;
        Ok(waited.unwrap_or_else(|_| EntryListUpdate::Changes {
            version: self.state().version,
            changes: Vec::new(),
        }))
    }

    async fn add_entry(&self, entry: SocketAddr, _: EntryListReplica) -> Result<bool, StoreError> {
        self.begin_call()?;
        let is_new = !self.state().entries.contains(&entry);
        self.change(entry, true);
        Ok(is_new)
    }

    async fn remove_entry(&self, entry: SocketAddr, _: EntryListReplica) -> Result<(), StoreError> {
        self.begin_call()?;
        self.change(entry, false);
        Ok(())
    }

    async fn read_worker(&self, _: &str) -> Result<Option<WorkerView>, StoreError> {
        self.begin_call()?;
        Ok(self.state().worker.clone())
    }

    async fn store_worker(&self, _: &str, _: &WorkerView) -> Result<(), StoreError> {
        unavailable()
    }
}
