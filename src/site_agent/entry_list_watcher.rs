//! Follows the list of entries in the store.

use {
    crate::{
        adapters::timer::Backoff,
        core::entry_list::{EntryList, EntryListReplica},
        ports::{EntryListUpdate, FeedCursor, SiteStore, StoreError},
    },
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, timeout_at},
    },
};

/// Long-poll timeout of the change feed, in milliseconds; limits how long a lost connection delays a
/// change.
const LONG_POLL_MS: u64 = 8_000;
/// Number of responses by which the feed cursor lags; the store's history must reach as far back.
const FEED_LAG_RESPONSES: usize = 1;
/// Time after which the seeds are used if the list has not been read, in milliseconds. A read usually
/// takes less, and the agents of a fleet that starts must not all connect to the few seeds first.
const SEEDS_AFTER_MS: u64 = 250;
/// Backoff after failed calls to the store, in milliseconds.
const INITIAL_STORE_BACKOFF_MS: u64 = 100;
const MAX_STORE_BACKOFF_MS: u64 = 1_000;
/// Range of the random delay after a change, in milliseconds; spreads the agents' calls and lets one
/// response cover several changes.
const CHANGE_DELAY_RANGE_MS: (u64, u64) = (200, 800);

/// Failed feed calls in a row after which the list is read again; feeds may fail while reads succeed.
const MAX_FEED_FAILURES: usize = 10;
/// Range of the random time after which the list is read again, in milliseconds. A change is missed if
/// an agent switches to another replica after the change was made there and before it was made here.
const REREAD_AFTER_RANGE_MS: (u64, u64) = (600_000, 1_200_000);

/// Reads the list of entries, follows its changes and sends each version of it.
///
/// Between rare reads, an agent receives changes only, so that a change costs each agent the same
/// whatever the length of the list.
#[derive(Debug)]
pub(super) struct EntryListWatcher {
    store: Arc<dyn SiteStore>,
    /// Entries to use if the first reads of the list fail; some may no longer exist.
    seeds: Vec<SocketAddr>,
    lists: mpsc::UnboundedSender<Vec<SocketAddr>>,
    list: EntryList,
    /// Replicas receive the same changes, and their versions are comparable, so another replica
    /// continues where one failed.
    replica: EntryListReplica,
    /// Position in the change feed; `None` if the list must be read.
    cursor: Option<FeedCursor>,
    /// When the seeds are used if the list has not been read.
    seeds_at: Instant,
    /// When the list is to be read again.
    reread_at: Instant,
    /// Failed calls since the last successful one.
    failures: usize,
    backoff: Backoff,
}

impl EntryListWatcher {
    pub(super) fn new(
        store: Arc<dyn SiteStore>,
        seeds: Vec<SocketAddr>,
        lists: mpsc::UnboundedSender<Vec<SocketAddr>>,
    ) -> Self {
        let replicas = EntryListReplica::ALL;
        Self {
            store,
            seeds,
            lists,
            list: EntryList::default(),
            replica: replicas[rand::random_range(0..replicas.len())],
            cursor: None,
            seeds_at: Instant::now() + Duration::from_millis(SEEDS_AFTER_MS),
            reread_at: Instant::now(),
            failures: 0,
            backoff: Backoff::new(INITIAL_STORE_BACKOFF_MS, MAX_STORE_BACKOFF_MS),
        }
    }

    /// Follows the list until the receiver is dropped.
    pub(super) async fn run(mut self) {
        while !self.lists.is_closed() {
            let polled = match &self.cursor {
                Some(cursor) if Instant::now() < self.reread_at => {
                    self.follow_changes(cursor.after()).await
                }
                _ => self.read_list().await,
            };
            match polled {
                Ok(()) => {
                    self.failures = 0;
                    self.backoff.reset();
                }
                Err(error) => self.handle_failure(&error).await,
            }
        }
    }

    async fn read_list(&mut self) -> Result<(), StoreError> {
        let store = Arc::clone(&self.store);
        let mut read = pin!(store.read_entries(self.replica));
        let result = match timeout_at(self.seeds_at, &mut read).await {
            Ok(result) => result,
            Err(_) => {
                self.send_seeds();
                read.await
            }
        };
        let (entries, version) = result?;
        self.cursor = Some(FeedCursor::new(version, FEED_LAG_RESPONSES));
        self.reread_at = Instant::now() + random_duration(REREAD_AFTER_RANGE_MS);
        self.list.replace(entries);
        self.send_list();
        Ok(())
    }

    /// Waits for changes after this version and applies them.
    async fn follow_changes(&mut self, after: u64) -> Result<(), StoreError> {
        let update = self
            .store
            .wait_for_entry_list_update(self.replica, after, LONG_POLL_MS);
        match (update.await?, &mut self.cursor) {
            (EntryListUpdate::Changes { version, changes }, Some(cursor)) => {
                if changes.is_empty() {
                    cursor.advance(version);
                    return Ok(());
                }
                cursor.restart(version);
                if self.list.apply(&changes) {
                    self.send_list();
                }
            }
            (EntryListUpdate::HistoryUnavailable, _) | (_, None) => self.cursor = None,
        }
        sleep(random_duration(CHANGE_DELAY_RANGE_MS)).await;
        Ok(())
    }

    async fn handle_failure(&mut self, error: &StoreError) {
        log::info!(error:% = error; "failed to read the list of entries");
        self.failures += 1;
        self.replica = self.replica.next();
        if self.cursor.is_none() && self.failures == EntryListReplica::ALL.len() {
            self.send_seeds();
        }
        if self.failures.is_multiple_of(MAX_FEED_FAILURES) {
            self.cursor = None;
        }
        self.backoff.wait().await;
    }

    /// Sends the seeds unless the list was read before.
    fn send_seeds(&mut self) {
        if self.list.entries().is_empty() {
            self.list.replace(self.seeds.iter().copied());
            self.send_list();
        }
    }

    fn send_list(&self) {
        // The receiver lives as long as the process.
        let _ = self.lists.send(self.list.entries());
    }
}

fn random_duration((min_ms, max_ms): (u64, u64)) -> Duration {
    Duration::from_millis(rand::random_range(min_ms..=max_ms))
}
