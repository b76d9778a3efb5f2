//! Keeps this entry on the roster, and reads the roster and the configuration's head.

use {
    super::{ConfigStore, EntryState},
    crate::{
        core::{
            roster::{ROSTER_PREFIX, Roster, RosterRow, beat_key, entry_key},
            ticket::AgentId,
            time::Instant,
        },
        ports::{Check, Put, StoreError, Table, TimerService, Transaction, TransactionOutcome},
    },
    rand::RngExt,
    std::{collections::BTreeMap, sync::Arc},
};

/// Pause between readings of the roster, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 2_000;
/// Longest pause between writes of the beat row, in milliseconds.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 5_000;
/// Beats written within the time after which the rows may be removed, at least.
const MIN_HEARTBEATS_PER_OUTAGE_LIMIT: u64 = 5;
/// Version of a row that is written once.
const INITIAL_ROW_VERSION: u64 = 1;

/// Where this entry stands with the platform.
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
    /// Calls the platform again and again, one call at a time.
    ///
    /// Guards against calls that pile up on a slow store: the next one begins when the last has
    /// ended or was given up, and ticks that come meanwhile are dropped.
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

    /// One round of calls. The head is read whatever became of the roster's rows: permits rest
    /// on it, and a store may take reads while it takes no writes.
    async fn sync(&mut self) -> Result<(), StoreError> {
        let now = self.timer.now();
        let registration = self.maintain_registration(now).await;
        let is_scan_due = self.is_registered && is_due(now, self.scanned_at, SCAN_INTERVAL_MS);
        // A scan reads the head, too.
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
                put(beat_key(row.entry.entry), Some(String::new())),
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
            // An earlier write whose reply was lost: the next beat finds the row.
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
            puts: vec![put(beat_key(entry), Some(String::new()))],
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

    /// The rows are gone: others took this entry for dead. It comes back under a new identity.
    fn renew_identity(&mut self) {
        log::warn!("this entry was taken off the roster and registers anew");
        self.state.renew_identity(AgentId(rand::rng().random()));
        self.is_registered = false;
        self.heartbeat_sent_at = None;
        self.scanned_at = None;
    }

    /// Reads the roster and then the head row, and removes rows of entries that are gone.
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
        if !scan.own_row_stands {
            self.renew_identity();
            return Ok(());
        }
        for (entry, heartbeat_version) in scan.gone {
            log::warn!(entry = entry.0; "an entry that is gone is taken off the roster");
            self.remove_entry(entry, Some(heartbeat_version)).await?;
        }
        Ok(())
    }

    async fn remove_entry(
        &self,
        entry: AgentId,
        heartbeat_version: Option<u64>,
    ) -> Result<TransactionOutcome, StoreError> {
        let checks = heartbeat_version.map(|version| check(beat_key(entry), version));
        let transaction = Transaction {
            checks: checks.into_iter().collect(),
            puts: Roster::keys(entry).map(|key| put(key, None)).into(),
        };
        self.table.transact(transaction).await
    }
}

/// Takes an entry that stops as planned off the roster.
pub(crate) async fn deregister(state: &EntryState, table: &dyn Table) {
    let entry = state.local_entry().entry;
    let transaction = Transaction {
        checks: Vec::new(),
        puts: Roster::keys(entry).map(|key| put(key, None)).into(),
    };
    if let Err(error) = table.transact(transaction).await {
        log::warn!(error:% = error; "this entry could not be taken off the roster");
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
