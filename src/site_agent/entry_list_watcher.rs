//! Follows the list of entries in the store.

use {
    crate::{
        adapters::timer::Backoff,
        ports::{EntryListChange, EntryListReplica, FeedCursor, SiteStore, StoreError},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Long-poll timeout of the change feed, in milliseconds.
const LONG_POLL_MS: u64 = 5_000;
/// Number of responses by which the feed cursor lags; the store's history must reach as far back.
const FEED_LAG_RESPONSES: usize = 2;
/// Backoff after failed calls to the store, in milliseconds.
const INITIAL_STORE_BACKOFF_MS: u64 = 100;
const MAX_STORE_BACKOFF_MS: u64 = 1_000;
/// Range of the random delay between a change of the list and reading it, in milliseconds; spreads
/// the agents' reads and lets one read cover several changes.
const REREAD_DELAY_RANGE_MS: (u64, u64) = (200, 800);

/// Reads the list of entries and sends each version of it.
#[derive(Debug)]
pub(super) struct EntryListWatcher {
    pub(super) store: Arc<dyn SiteStore>,
    /// Entries to use if the first read of the list fails; some may no longer exist.
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) lists: mpsc::UnboundedSender<Vec<SocketAddr>>,
}

impl EntryListWatcher {
    /// Follows the list until the receiver is dropped.
    pub(super) async fn run(self) {
        let mut backoff = Backoff::new(INITIAL_STORE_BACKOFF_MS, MAX_STORE_BACKOFF_MS);
        let mut has_list = false;
        while !self.lists.is_closed() {
            match self.read_list().await {
                Ok((entries, version)) => {
                    backoff.reset();
                    self.send(entries);
                    has_list = true;
                    match self.wait_for_change(version).await {
                        Ok(()) => wait_before_reread().await,
                        Err(error) => back_off(&error, &mut backoff).await,
                    }
                }
                Err(error) => {
                    if !has_list {
                        self.send(self.seeds.clone());
                        has_list = true;
                    }
                    back_off(&error, &mut backoff).await;
                }
            }
        }
    }

    fn send(&self, entries: Vec<SocketAddr>) {
        // The receiver lives as long as the process.
        let _ = self.lists.send(entries);
    }

    /// Reads the replicas of the list in turn, from a random one, until a read succeeds.
    async fn read_list(&self) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        let mut replicas = EntryListReplica::ALL;
        let first = rand::random_range(0..replicas.len());
        replicas.rotate_left(first);
        let [first, others @ ..] = replicas;
        let mut read = self.store.read_entries(first).await;
        for replica in others {
            if read.is_ok() {
                return read;
            }
            read = self.store.read_entries(replica).await;
        }
        read
    }

    /// Returns once some replica of the list has changed.
    async fn wait_for_change(&self, read_at: u64) -> Result<(), StoreError> {
        let mut cursor = FeedCursor::new(read_at, FEED_LAG_RESPONSES);
        loop {
            match self
                .store
                .wait_for_entry_list_change(cursor.after(), LONG_POLL_MS)
                .await?
            {
                EntryListChange::None { version } => cursor.advance(version),
                EntryListChange::Some => return Ok(()),
            }
        }
    }
}

/// Waits so that one read covers entries that are listed or delisted at the same time.
async fn wait_before_reread() {
    let (min_ms, max_ms) = REREAD_DELAY_RANGE_MS;
    sleep(Duration::from_millis(rand::random_range(min_ms..=max_ms))).await;
}

async fn back_off(error: &StoreError, backoff: &mut Backoff) {
    log::info!(error:% = error; "failed to read the list of entries");
    backoff.wait().await;
}
