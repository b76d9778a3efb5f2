//! Follows the operators' rows (configuration document and evacuated zones) in the store.

use {
    super::{
        dispatch_loop::LoopInput, process_log_event::ProcessLogEvent, state::EntryState,
        store_health::StoreHealth,
    },
    crate::{
        adapters::timer::Backoff,
        core::{
            dispatch::DispatchEvent, document::Document, link::EvacuatedZones, routes::SiteConfig,
            time::Instant as BootInstant,
        },
        platform::parse_config,
        ports::{
            Counter, DecisionLog, FeedCursor, LogPriority, Metrics, OperatorChange, OperatorRows,
            SiteStore, TimerService, log_decision,
        },
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Long-poll timeout of the change feed, in milliseconds; an unresponsive connection must be detected
/// within three seconds, after which changes have to apply in time again.
const LONG_POLL_MS: u64 = 2_000;
/// Number of responses by which the feed cursor lags; the store's history must reach as far back.
const FEED_LAG_RESPONSES: usize = 5;
/// Backoff before a full read after the feed failed or its history was discarded, in milliseconds.
const INITIAL_REREAD_BACKOFF_MS: u64 = 100;
const MAX_REREAD_BACKOFF_MS: u64 = 1_000;

/// Newest versions seen of the operators' rows.
#[derive(Debug, Default)]
pub(super) struct KnownRows {
    zones: Option<EvacuatedZones>,
    /// Revision of the newest document; zero if there is none.
    revision: u64,
}

/// Reads the operators' rows, forwards changes to the dispatcher and ignores stale ones.
#[derive(Debug)]
pub(super) struct OperatorRowsWatcher {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) state: Arc<EntryState>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) known: Mutex<KnownRows>,
}

impl OperatorRowsWatcher {
    /// Follows the operators' rows for the lifetime of the process.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut health = StoreHealth::new("news", &self.decisions, &self.metrics);
        let mut backoff = Backoff::new(INITIAL_REREAD_BACKOFF_MS, MAX_REREAD_BACKOFF_MS);
        loop {
            let started_at = Instant::now();
            let asked_at = self.timer.now();
            match self.store.read_operator_rows().await {
                Ok(rows) => {
                    health.record_success();
                    self.log_read(&rows, started_at);
                    let version = rows.zones.version;
                    self.apply_rows(rows);
                    self.confirm_zones(version, asked_at, version);
                    self.follow_changes(version, &mut health, &mut backoff)
                        .await;
                    backoff.wait_since(started_at).await;
                }
                Err(error) => health.record_failure(&error).await,
            }
        }
    }

    /// Follows the change feed; returns when a full read is needed.
    ///
    /// The feed may fail while reads succeed.
    async fn follow_changes(&self, read_at: u64, health: &mut StoreHealth, backoff: &mut Backoff) {
        let mut cursor = FeedCursor::new(read_at, FEED_LAG_RESPONSES);
        loop {
            let asked_at = self.timer.now();
            let change = self
                .store
                .wait_for_operator_change(cursor.after(), LONG_POLL_MS)
                .await;
            // The store answers before the end of its wait; later only a suspension delays the response.
            let answered_at = self.timer.now().min(asked_at.plus_ms(LONG_POLL_MS));
            match change {
                Ok(OperatorChange::None { version }) => {
                    self.confirm_zones(version, answered_at, cursor.after());
                    cursor.advance(version);
                }
                Ok(OperatorChange::Rows {
                    version,
                    zones,
                    document,
                }) => {
                    self.apply_changes(version, zones, document);
                    cursor.restart(version);
                    self.confirm_zones(version, answered_at, cursor.after());
                }
                Ok(OperatorChange::HistoryUnavailable) => {
                    health.record_success();
                    return;
                }
                Err(error) => {
                    health.record_failure(&error).await;
                    return;
                }
            }
            health.record_success();
            backoff.reset();
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownRows> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_rows(&self, rows: OperatorRows) {
        if let Some(document) = rows.document {
            self.apply_document(document, "store");
        }
        self.apply_zones(rows.zones, "store");
    }

    fn apply_changes(
        &self,
        version: u64,
        zones: BTreeMap<String, bool>,
        document: Option<Document>,
    ) {
        if let Some(document) = document {
            self.count_bytes_read(&document);
            self.apply_document(document, "store");
        }
        let mut known = self.known();
        let mut evacuated = known
            .zones
            .clone()
            .map_or_else(Default::default, |zones| zones.evacuated);
        for (zone, is_evacuated) in zones {
            if is_evacuated {
                evacuated.insert(zone);
            } else {
                evacuated.remove(&zone);
            }
        }
        self.replace_zones(&mut known, EvacuatedZones { version, evacuated }, "store");
    }

    /// Notifies the dispatcher that the store had no other zones at this time, unless its response is
    /// older than the known zones.
    fn confirm_zones(&self, version: u64, at: BootInstant, rows_version: u64) {
        let known = self.known().zones.as_ref().map(|zones| zones.version);
        if known.is_none_or(|known| version < known) {
            return;
        }
        let event = DispatchEvent::ZonesRead { at, rows_version };
        // The loop runs as long as the process.
        let _ = self.inputs.send(LoopInput::Event(event));
    }

    /// Applies evacuated zones unless newer ones are known.
    pub(super) fn apply_zones(&self, zones: EvacuatedZones, source: &'static str) {
        self.replace_zones(&mut self.known(), zones, source);
    }

    fn replace_zones(&self, known: &mut KnownRows, zones: EvacuatedZones, source: &'static str) {
        if !zones.is_newer_than(known.zones.as_ref()) {
            let known_version = known.zones.as_ref().map_or(0, |known| known.version);
            self.log_ignored("news", zones.version, known_version, source);
            return;
        }
        // The loop runs as long as the process.
        let _ = self
            .inputs
            .send(LoopInput::Event(DispatchEvent::EvacuatedZones(
                zones.clone(),
            )));
        known.zones = Some(zones);
    }

    /// Applies a document unless a newer one is known or it is invalid.
    pub(super) fn apply_document(&self, document: Document, source: &'static str) {
        let mut known = self.known();
        if document.revision <= known.revision {
            self.log_ignored("document", document.revision, known.revision, source);
            return;
        }
        known.revision = document.revision;
        match parse_config(&document) {
            Ok(config) => self.apply_config(config, document.revision, source),
            Err(error) => {
                let cause = error.to_string();
                let event = ProcessLogEvent::ConfigUnreadable { cause };
                log_decision(&*self.decisions, LogPriority::Notable, &event);
            }
        }
        // The loop runs as long as the process.
        let _ = self
            .inputs
            .send(LoopInput::Event(DispatchEvent::Document(document)));
    }

    fn apply_config(&self, config: SiteConfig, revision: u64, source: &'static str) {
        // The configuration version never decreases within one process, even if a stale read shows
        // an older one.
        if let Some(newer) = self
            .state
            .config()
            .filter(|known| known.version > config.version)
        {
            self.log_ignored("config", config.version, newer.version, source);
            return;
        }
        let event = ProcessLogEvent::ConfigInForce {
            version: config.version,
            revision,
            routes: config.routes.len(),
            services: config.services.len(),
            source,
        };
        self.state.set_config(config);
        log_decision(&*self.decisions, LogPriority::Notable, &event);
    }

    fn count_bytes_read(&self, document: &Document) {
        let bytes = u64::try_from(document.text.len()).unwrap_or(u64::MAX);
        self.metrics.add(Counter::DocumentBytes, "read", bytes);
    }

    fn log_read(&self, rows: &OperatorRows, started_at: Instant) {
        if let Some(document) = &rows.document {
            self.count_bytes_read(document);
        }
        let document = rows.document.as_ref();
        let event = ProcessLogEvent::NewsRead {
            store_version: rows.zones.version,
            revision: document.map_or(0, |document| document.revision),
            took_ms: u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            document_bytes: document.map_or(0, |document| document.text.len()),
        };
        log_decision(&*self.decisions, LogPriority::Notable, &event);
    }

    /// Logs ignored stale rows; rows of the known version are routine and not logged.
    fn log_ignored(
        &self,
        what: &'static str,
        version: u64,
        known_version: u64,
        source: &'static str,
    ) {
        if version == known_version {
            return;
        }
        let event = ProcessLogEvent::NewsLeftAside {
            what,
            version,
            known_version,
            source,
        };
        log_decision(&*self.decisions, LogPriority::Notable, &event);
    }
}
