//! Maintains this entry's registration, and reads the roster and the configuration's head.

use {
    super::{ConfigStore, EntryState},
    crate::{
        core::{
            roster::{ROSTER_PREFIX, Roster, RosterRow, entry_key, heartbeat_key},
            ticket::AgentId,
            time::Instant,
        },
        ports::{Check, Put, StoreError, Table, TimerService, Transaction, TransactionOutcome},
    },
    rand::RngExt,
    std::{collections::BTreeMap, sync::Arc},
};

/// Interval of roster scans, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 2_000;
/// Longest interval between writes of the heartbeat row, in milliseconds.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 5_000;
/// Minimum number of heartbeats within the time after which others may remove this entry's rows.
const MIN_HEARTBEATS_PER_OUTAGE_LIMIT: u64 = 5;
/// Version of an entry's row, which is written only once.
const INITIAL_ROW_VERSION: u64 = 1;

/// Synchronizes this entry with the platform's roster and configuration.
#[derive(Debug)]
pub(crate) struct RosterSync {
    pub(crate) state: Arc<EntryState>,
    pub(crate) config_store: Arc<ConfigStore>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) is_registered: bool,
    pub(crate) heartbeat_sent_at: Option<Instant>,
    pub(crate) scanned_at: Option<Instant>,
}

impl RosterSync {
    /// Calls the platform periodically.
    ///
    /// Rounds don't overlap, and ticks during a round are dropped, so calls don't pile up on a
    /// slow store.
    pub(crate) async fn run(mut self, period_ms: u64) {
        let mut ticks = self.timer.subscribe(period_ms);
        let mut reachable = true;
        while ticks.recv().await.is_some() {
            let result = self.sync().await;
            if result.is_ok() != reachable {
                reachable = result.is_ok();
                log::warn!(reachable, error:? = result.err(); "the platform's reachability changed");
            }
        }
    }

    /// Runs one round of calls. The head is read even if the roster's rows can't be written: permits
    /// depend on it, and a store may accept reads but no writes.
    async fn sync(&mut self) -> Result<(), StoreError> {
        let now = self.timer.now();
        let registration = self.maintain_registration(now).await;
        let is_scan_due = self.is_registered && is_due(now, self.scanned_at, SCAN_INTERVAL_MS);
        // A scan also reads the head.
        if is_scan_due && self.scan_roster().await.is_ok() {
            return registration;
        }
        registration.and(self.config_store.refresh().await)
    }

    async fn maintain_registration(&mut self, now: Instant) -> Result<(), StoreError> {
        if !self.is_registered {
            self.register().await?;
        }
        let heartbeat_interval_ms = MAX_HEARTBEAT_INTERVAL_MS
            .min(self.state.outage_limit_ms / MIN_HEARTBEATS_PER_OUTAGE_LIMIT);
        if is_due(now, self.heartbeat_sent_at, heartbeat_interval_ms) {
            self.write_heartbeat().await?;
        }
        Ok(())
    }

    async fn register(&mut self) -> Result<(), StoreError> {
        let row = self.state.roster_row();
        let key = entry_key(row.entry.entry);
        let value = serde_json::to_string(&row)
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        let transaction = Transaction {
            checks: vec![check(key.clone(), 0)],
            puts: vec![
                put(key, Some(value)),
                put(heartbeat_key(row.entry.entry), Some(String::new())),
            ],
        };
        let sent_at = self.timer.now();
        match self.table.transact(transaction).await {
            Ok(TransactionOutcome::Committed) => {
                self.state.record_row_written(sent_at);
                self.heartbeat_sent_at = Some(sent_at);
                self.is_registered = true;
                Ok(())
            }
            // An earlier write took effect but its reply was lost; the next heartbeat checks the row.
            Ok(TransactionOutcome::Conflict { .. }) => {
                self.is_registered = true;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    async fn write_heartbeat(&mut self) -> Result<(), StoreError> {
        let entry = self.state.local_entry().entry;
        let transaction = Transaction {
            checks: vec![check(entry_key(entry), INITIAL_ROW_VERSION)],
            puts: vec![put(heartbeat_key(entry), Some(String::new()))],
        };
        let sent_at = self.timer.now();
        match self.table.transact(transaction).await? {
            TransactionOutcome::Committed => {
                self.state.record_row_written(sent_at);
                self.heartbeat_sent_at = Some(sent_at);
            }
            TransactionOutcome::Conflict { .. } => self.renew_identity(),
        }
        Ok(())
    }

    /// Picks a new identity after other entries have removed this one as dead.
    fn renew_identity(&mut self) {
        log::warn!("this entry was removed from the roster and registers under a new identity");
        self.state.renew_identity(AgentId(rand::rng().random()));
        self.is_registered = false;
        self.heartbeat_sent_at = None;
        self.scanned_at = None;
    }

    /// Reads the roster and then the head row, and removes rows of dead entries.
    async fn scan_roster(&mut self) -> Result<(), StoreError> {
        let requested_at = self.timer.now();
        let rows = self.table.scan(ROSTER_PREFIX).await?;
        let heartbeats: BTreeMap<String, u64> = rows
            .iter()
            .map(|row| (row.key.clone(), row.version))
            .collect();
        let entries: Vec<RosterRow> = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect();
        // The head must be read after the roster: see `ZoneGate::record_roster_read`.
        self.config_store.refresh().await?;
        let scan = self
            .state
            .apply_roster_scan(requested_at, entries, &heartbeats);
        self.scanned_at = Some(requested_at);
        if !scan.own_row_exists {
            self.renew_identity();
            return Ok(());
        }
        for (entry, heartbeat_version) in scan.expired {
            log::warn!(entry = entry.0; "removing a dead entry from the roster");
            self.remove_entry(entry, Some(heartbeat_version)).await?;
        }
        Ok(())
    }

    async fn remove_entry(
        &self,
        entry: AgentId,
        heartbeat_version: Option<u64>,
    ) -> Result<TransactionOutcome, StoreError> {
        let checks = heartbeat_version.map(|version| check(heartbeat_key(entry), version));
        let transaction = Transaction {
            checks: checks.into_iter().collect(),
            puts: Roster::row_keys(entry).map(|key| put(key, None)).into(),
        };
        self.table.transact(transaction).await
    }
}

/// Removes this entry from the roster at shutdown.
pub(crate) async fn deregister(state: &EntryState, table: &dyn Table) {
    let entry = state.local_entry().entry;
    let transaction = Transaction {
        checks: Vec::new(),
        puts: Roster::row_keys(entry).map(|key| put(key, None)).into(),
    };
    if let Err(error) = table.transact(transaction).await {
        log::warn!(error:% = error; "failed to remove this entry from the roster");
    }
}

fn is_due(now: Instant, last: Option<Instant>, period_ms: u64) -> bool {
    last.is_none_or(|last| now.millis_since(last) >= period_ms)
}

const fn check(key: String, version: u64) -> Check {
    Check { key, version }
}

const fn put(key: String, value: Option<String>) -> Put {
    Put { key, value }
}
