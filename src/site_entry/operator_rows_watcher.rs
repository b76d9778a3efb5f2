//! Keeps what operators have set up to date.

use {
    super::{
        dispatch_loop::LoopInput, process_log_event::ProcessLogEvent, state::EntryState,
        store_watch::StoreWatch,
    },
    crate::{
        adapters::timer::Backoff,
        core::{
            dispatch::DispatchEvent, document::Document, link::EvacuatedZones, routes::SiteConfig,
        },
        platform::parse_config,
        ports::{
            Counter, DecisionLog, FeedCursor, LogPriority, Metrics, OperatorChange, OperatorRows,
            SiteStore, log_decision,
        },
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::sync::mpsc,
};

/// Longest wait for a change in one call, in milliseconds.
///
/// A connection that has gone silent is found half a second after it; a change must be in
/// force two seconds after it was made.
const WAIT_MS: u64 = 1_000;
/// Answers by which the feed is followed behind; the store's history must reach as far back.
const FEED_LAG: usize = 5;
/// Pauses before all is read anew because the feed failed or has lost its history, in milliseconds; the first is
/// doubled up to the last.
const FIRST_REREAD_PAUSE_MS: u64 = 100;
const LAST_REREAD_PAUSE_MS: u64 = 1_000;

/// What is known of the operators' rows.
#[derive(Debug, Default)]
pub(super) struct KnownRows {
    news: Option<EvacuatedZones>,
    /// Revision of the newest document; zero without one.
    revision: u64,
}

/// Reads what operators have set, passes it on, and remembers the newest.
#[derive(Debug)]
pub(super) struct OperatorRowsWatcher {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) state: Arc<EntryState>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) known: Mutex<KnownRows>,
}

impl OperatorRowsWatcher {
    /// Follows the operators' rows for as long as the process lives.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut watch = StoreWatch::new("news", &self.decisions, &self.metrics);
        let mut pause = Backoff::new(FIRST_REREAD_PAUSE_MS, LAST_REREAD_PAUSE_MS);
        loop {
            let begun_at = Instant::now();
            match self.store.read_operator_rows().await {
                Ok(rows) => {
                    watch.regained();
                    self.note_read(&rows, begun_at);
                    let version = rows.zones.version;
                    self.take_rows(rows);
                    self.follow_changes(version, &mut watch, &mut pause).await;
                    pause.wait().await;
                }
                Err(error) => watch.lost(&error).await,
            }
        }
    }

    /// Returns when the rows are to be read anew: feeds may fail while reads are answered.
    async fn follow_changes(&self, read_at: u64, watch: &mut StoreWatch, pause: &mut Backoff) {
        let mut cursor = FeedCursor::new(read_at, FEED_LAG);
        loop {
            let change = self.store.wait_for_operators(cursor.after(), WAIT_MS).await;
            match change {
                Ok(OperatorChange::None { version }) => cursor.advance(version),
                Ok(OperatorChange::Rows {
                    version,
                    zones,
                    document,
                }) => {
                    self.take_changes(version, zones, document);
                    cursor = FeedCursor::new(version, FEED_LAG);
                }
                Ok(OperatorChange::Forgotten) => {
                    watch.regained();
                    return;
                }
                Err(error) => {
                    watch.lost(&error).await;
                    return;
                }
            }
            watch.regained();
            pause.reset();
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownRows> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_rows(&self, rows: OperatorRows) {
        if let Some(document) = rows.document {
            self.take_document(document, "store");
        }
        self.take_news(rows.zones, "store");
    }

    fn take_changes(
        &self,
        version: u64,
        zones: BTreeMap<String, bool>,
        document: Option<Document>,
    ) {
        if let Some(document) = document {
            self.count_read(&document);
            self.take_document(document, "store");
        }
        let mut known = self.known();
        let mut evacuated = known
            .news
            .clone()
            .map_or_else(Default::default, |news| news.evacuated);
        for (zone, is_out) in zones {
            if is_out {
                evacuated.insert(zone);
            } else {
                evacuated.remove(&zone);
            }
        }
        self.replace_news(&mut known, EvacuatedZones { version, evacuated }, "store");
    }

    /// Goes by news unless newer ones are known.
    pub(super) fn take_news(&self, news: EvacuatedZones, source: &'static str) {
        self.replace_news(&mut self.known(), news, source);
    }

    fn replace_news(&self, known: &mut KnownRows, news: EvacuatedZones, source: &'static str) {
        if !news.is_newer_than(known.news.as_ref()) {
            let known_version = known.news.as_ref().map_or(0, |known| known.version);
            self.note_left_aside("news", news.version, known_version, source);
            return;
        }
        // The loop ends only with the process.
        let _ = self
            .inputs
            .send(LoopInput::Event(DispatchEvent::EvacuatedZones(
                news.clone(),
            )));
        known.news = Some(news);
    }

    /// Goes by a document unless a newer one is known or it can't be read.
    pub(super) fn take_document(&self, document: Document, source: &'static str) {
        let mut known = self.known();
        if document.revision <= known.revision {
            self.note_left_aside("document", document.revision, known.revision, source);
            return;
        }
        known.revision = document.revision;
        match parse_config(&document) {
            Ok(config) => self.put_in_force(config, document.revision, source),
            Err(error) => {
                let cause = error.to_string();
                let unreadable = ProcessLogEvent::ConfigUnreadable { cause };
                log_decision(&*self.decisions, LogPriority::Notable, &unreadable);
            }
        }
        // The loop ends only with the process.
        let _ = self
            .inputs
            .send(LoopInput::Event(DispatchEvent::Document(document)));
    }

    fn put_in_force(&self, config: SiteConfig, revision: u64, source: &'static str) {
        // The document's own version never goes back in one process, whatever the store says.
        if let Some(newer) = self
            .state
            .config()
            .filter(|known| known.version > config.version)
        {
            self.note_left_aside("config", config.version, newer.version, source);
            return;
        }
        let in_force = ProcessLogEvent::ConfigInForce {
            version: config.version,
            revision,
            routes: config.routes.len(),
            services: config.services.len(),
            source,
        };
        self.state.set_config(config);
        log_decision(&*self.decisions, LogPriority::Notable, &in_force);
    }

    fn count_read(&self, document: &Document) {
        let bytes = u64::try_from(document.text.len()).unwrap_or(u64::MAX);
        self.metrics.add(Counter::DocumentBytes, "read", bytes);
    }

    fn note_read(&self, rows: &OperatorRows, begun_at: Instant) {
        if let Some(document) = &rows.document {
            self.count_read(document);
        }
        let document = rows.document.as_ref();
        let read = ProcessLogEvent::NewsRead {
            store_version: rows.zones.version,
            revision: document.map_or(0, |document| document.revision),
            took_ms: u64::try_from(begun_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            document_bytes: document.map_or(0, |document| document.text.len()),
        };
        log_decision(&*self.decisions, LogPriority::Notable, &read);
    }

    /// Notes what is older than what is known; the same again is the usual course.
    fn note_left_aside(
        &self,
        what: &'static str,
        version: u64,
        known_version: u64,
        source: &'static str,
    ) {
        if version == known_version {
            return;
        }
        let left_aside = ProcessLogEvent::NewsLeftAside {
            what,
            version,
            known_version,
            source,
        };
        log_decision(&*self.decisions, LogPriority::Notable, &left_aside);
    }
}
