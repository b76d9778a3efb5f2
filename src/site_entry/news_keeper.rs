//! Keeps what operators have set up to date.

use {
    super::{
        dispatch_loop::LoopInput, process_note::ProcessNote, state::EntryState,
        store_watch::StoreWatch,
    },
    crate::{
        core::{dispatch::DispatchEvent, link::News},
        platform::read_config,
        ports::{Change, Counter, DecisionLog, LineRank, Metrics, SiteStore, note},
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    tokio::sync::mpsc,
};

/// Longest wait for a change in one call, in milliseconds.
///
/// A connection that has gone silent is found half a second after it; a change must be in
/// force two seconds after it was made.
const WAIT_MS: u64 = 1_000;
/// Reads news, passes them on, and remembers the newest.
#[derive(Debug)]
pub(super) struct NewsKeeper {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) state: Arc<EntryState>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) newest: Mutex<Option<News>>,
}

impl NewsKeeper {
    /// Follows the operators' rows for as long as the process lives.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut watch = StoreWatch::new("news", &self.decisions, &self.metrics);
        loop {
            let begun_at = Instant::now();
            match self.store.read_news().await {
                Ok(news) => {
                    watch.regained();
                    self.note_read(&news, begun_at);
                    let version = news.version;
                    self.take(news, "store");
                    self.wait_for_change(version, &mut watch).await;
                }
                Err(error) => watch.lost(&error).await,
            }
        }
    }

    /// Returns when the rows are to be read anew.
    async fn wait_for_change(&self, read_at: u64, watch: &mut StoreWatch) {
        let mut after = read_at;
        loop {
            match self.store.wait_for_news(after, WAIT_MS).await {
                Ok(Change::None { version }) => {
                    watch.regained();
                    after = version;
                }
                Ok(Change::Some) => {
                    watch.regained();
                    return;
                }
                Err(error) => watch.lost(&error).await,
            }
        }
    }

    /// Goes by news, unless newer ones are known or they can't be read.
    pub(super) fn take(&self, news: News, source: &'static str) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = newest.as_ref();
        if !news.is_newer_than(known) {
            self.note_left_aside(&news, known, source);
            return;
        }
        if news.document.is_some() && known.is_none_or(|known| known.document != news.document) {
            self.put_in_force(&news, source);
        }
        // The loop ends only with the process.
        let _ = self
            .inputs
            .send(LoopInput::Event(DispatchEvent::News(news.clone())));
        *newest = Some(news);
    }

    fn note_read(&self, news: &News, begun_at: Instant) {
        let document_bytes = news.document.as_ref().map_or(0, |document| document.len());
        let bytes = u64::try_from(document_bytes).unwrap_or(u64::MAX);
        self.metrics.add(Counter::DocumentBytes, "read", bytes);
        let read = ProcessNote::NewsRead {
            store_version: news.version,
            took_ms: u64::try_from(begun_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            document_bytes,
        };
        note(&*self.decisions, LineRank::Notable, &read);
    }

    fn note_left_aside(&self, news: &News, known: Option<&News>, source: &'static str) {
        let known_store_version = known.map_or(0, |known| known.version);
        if news.version == known_store_version {
            return;
        }
        let left_aside = ProcessNote::NewsLeftAside {
            store_version: news.version,
            known_store_version,
            source,
        };
        note(&*self.decisions, LineRank::Notable, &left_aside);
    }

    fn put_in_force(&self, news: &News, source: &'static str) {
        let config = match read_config(news) {
            Ok(config) => config,
            Err(error) => {
                let cause = error.to_string();
                let unreadable = ProcessNote::ConfigUnreadable { cause };
                note(&*self.decisions, LineRank::Notable, &unreadable);
                return;
            }
        };
        // The document's own version never goes back in one process, whatever the store says.
        if self
            .state
            .config()
            .is_some_and(|known| known.version > config.version)
        {
            return;
        }
        let in_force = ProcessNote::ConfigInForce {
            version: config.version,
            store_version: news.version,
            routes: config.routes.len(),
            services: config.services.len(),
            source,
        };
        self.state.set_config(config);
        note(&*self.decisions, LineRank::Notable, &in_force);
    }
}
