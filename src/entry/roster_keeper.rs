//! Keeps this entry on the roster, and reads the roster and the configuration's head.

use {
    super::{ConfigKeeper, EntryState},
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

/// Pause between readings of the roster, in milliseconds.
const SURVEY_MS: u64 = 2_000;
/// Longest pause between writes of the beat row, in milliseconds.
const BEAT_MS: u64 = 5_000;
/// Beats written within the time after which the rows may be removed, at least.
const BEATS_IN_OUTAGE_LIMIT: u64 = 5;
/// Version of a row that is written once.
const WRITTEN_ONCE: u64 = 1;

/// Where this entry stands with the platform.
#[derive(Debug)]
pub(crate) struct RosterKeeper {
    pub(crate) state: Arc<EntryState>,
    pub(crate) keeper: Arc<ConfigKeeper>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) is_registered: bool,
    pub(crate) beat_at: Option<Instant>,
    pub(crate) surveyed_at: Option<Instant>,
}

impl RosterKeeper {
    /// Calls the platform again and again, one call at a time.
    ///
    /// Guards against calls that pile up on a slow store: the next one begins when the last has
    /// ended or was given up, and ticks that come meanwhile are dropped.
    pub(crate) async fn run(mut self, period_ms: u64) {
        let mut ticks = self.timer.subscribe(period_ms);
        let mut reachable = true;
        while ticks.recv().await.is_some() {
            let result = self.call_platform().await;
            if result.is_ok() != reachable {
                reachable = result.is_ok();
                log::warn!(reachable, error:? = result.err(); "the platform's reachability changed");
            }
        }
    }

    /// One round of calls. The head is read whatever became of the roster's rows: permits rest
    /// on it, and a store may take reads while it takes no writes.
    async fn call_platform(&mut self) -> Result<(), StoreError> {
        let now = self.timer.now();
        let stands = self.stand_on_roster(now).await;
        let is_survey_due = self.is_registered && is_due(now, self.surveyed_at, SURVEY_MS);
        // A survey reads the head, too.
        if is_survey_due && self.survey().await.is_ok() {
            return stands;
        }
        stands.and(self.keeper.refresh().await)
    }

    async fn stand_on_roster(&mut self, now: Instant) -> Result<(), StoreError> {
        if !self.is_registered {
            self.register().await?;
        }
        let beat_ms = BEAT_MS.min(self.state.outage_limit_ms / BEATS_IN_OUTAGE_LIMIT);
        if is_due(now, self.beat_at, beat_ms) {
            self.beat().await?;
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
                self.state.row_written(sent_at);
                self.beat_at = Some(sent_at);
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

    async fn beat(&mut self) -> Result<(), StoreError> {
        let entry = self.state.me().entry;
        let transaction = Transaction {
            checks: vec![check(entry_key(entry), WRITTEN_ONCE)],
            puts: vec![put(heartbeat_key(entry), Some(String::new()))],
        };
        let sent_at = self.timer.now();
        match self.table.transact(transaction).await? {
            TransactionOutcome::Committed => {
                self.state.row_written(sent_at);
                self.beat_at = Some(sent_at);
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
        self.beat_at = None;
        self.surveyed_at = None;
    }

    /// Reads the roster and then the head row, and removes rows of entries that are gone.
    async fn survey(&mut self) -> Result<(), StoreError> {
        let asked_at = self.timer.now();
        let rows = self.table.scan(ROSTER_PREFIX).await?;
        let beats: BTreeMap<String, u64> = rows
            .iter()
            .map(|row| (row.key.clone(), row.version))
            .collect();
        let entries: Vec<RosterRow> = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect();
        // The head must be read after the roster: see `ZoneGate::record_roster_read`.
        self.keeper.refresh().await?;
        let survey = self.state.roster_read(asked_at, entries, &beats);
        self.surveyed_at = Some(asked_at);
        if !survey.own_row_exists {
            self.renew_identity();
            return Ok(());
        }
        for (entry, beat_version) in survey.expired {
            log::warn!(entry = entry.0; "an entry that is gone is taken off the roster");
            self.remove(entry, Some(beat_version)).await?;
        }
        Ok(())
    }

    async fn remove(
        &self,
        entry: AgentId,
        beat_version: Option<u64>,
    ) -> Result<TransactionOutcome, StoreError> {
        let checks = beat_version.map(|version| check(heartbeat_key(entry), version));
        let transaction = Transaction {
            checks: checks.into_iter().collect(),
            puts: Roster::row_keys(entry).map(|key| put(key, None)).into(),
        };
        self.table.transact(transaction).await
    }
}

/// Takes an entry that stops as planned off the roster.
pub(crate) async fn leave_roster(state: &EntryState, table: &dyn Table) {
    let entry = state.me().entry;
    let transaction = Transaction {
        checks: Vec::new(),
        puts: Roster::row_keys(entry).map(|key| put(key, None)).into(),
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
