//! Maintains a session with each listed entry.

use {
    super::execution_loop::LoopInput,
    crate::{
        adapters::{link::dial_link, timer::Backoff},
        core::execution::{ExecutionEvent, SessionId},
        ports::{
            Counter, EntryListChange, EntryListReplica, FeedCursor, Metrics, SiteStore, StoreError,
        },
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::sleep,
    },
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
/// Backoff after a failed connection to an entry, in milliseconds.
const INITIAL_DIAL_BACKOFF_MS: u64 = 50;
const MAX_DIAL_BACKOFF_MS: u64 = 800;

/// Connects to the listed entries.
#[derive(Debug)]
pub(super) struct Dialler {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) last_session: AtomicU64,
    /// Entries to dial if the first read of the list fails; some may no longer exist.
    pub(super) seeds: Vec<SocketAddr>,
}

impl Dialler {
    /// Follows the list of entries for the lifetime of the process.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut dialled: BTreeMap<SocketAddr, watch::Sender<bool>> = BTreeMap::new();
        let mut backoff = Backoff::new(INITIAL_STORE_BACKOFF_MS, MAX_STORE_BACKOFF_MS);
        loop {
            match self.read_list().await {
                Ok((entries, version)) => {
                    backoff.reset();
                    self.dial_new(&entries, &mut dialled);
                    match self.wait_for_change(version).await {
                        Ok(()) => wait_before_reread().await,
                        Err(error) => back_off(&error, &mut backoff).await,
                    }
                }
                Err(error) => {
                    if dialled.is_empty() {
                        self.dial_new(&self.seeds, &mut dialled);
                    }
                    back_off(&error, &mut backoff).await;
                }
            }
        }
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

    fn dial_new(
        self: &Arc<Self>,
        entries: &[SocketAddr],
        dialled: &mut BTreeMap<SocketAddr, watch::Sender<bool>>,
    ) {
        // A delisted entry keeps its session, but isn't dialled again while it isn't listed.
        for (entry, listed) in &*dialled {
            listed.send_replace(entries.contains(entry));
        }
        for entry in entries {
            dialled.entry(*entry).or_insert_with(|| {
                let (listed, is_listed) = watch::channel(true);
                tokio::spawn(Arc::clone(self).maintain_session(*entry, is_listed));
                listed
            });
        }
    }

    /// Maintains a session with one entry while it is listed.
    ///
    /// Each address has a single task for the lifetime of the process. An entry may be delisted and
    /// listed again while its session is open; the hello of a second session would tell the entry
    /// that no run of the first session exists.
    async fn maintain_session(
        self: Arc<Self>,
        entry: SocketAddr,
        mut is_listed: watch::Receiver<bool>,
    ) {
        let mut backoff = Backoff::new(INITIAL_DIAL_BACKOFF_MS, MAX_DIAL_BACKOFF_MS);
        // The sender lives as long as the process.
        while is_listed.wait_for(|listed| *listed).await.is_ok() {
            match dial_link(entry, Arc::clone(&self.metrics)).await {
                Ok(duplex) => {
                    backoff.reset();
                    self.run_session(entry, duplex).await;
                    self.metrics.count(Counter::PeerLosses, "session");
                }
                Err(error) => {
                    log::debug!(entry:% = entry, error:% = error; "failed to connect to an entry");
                    backoff.wait().await;
                }
            }
        }
    }

    /// Returns when the session has ended and no run that was started on it is left.
    async fn run_session(&self, entry: SocketAddr, duplex: super::execution_loop::EntryLink) {
        let session = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed));
        let (drained, session_drained) = oneshot::channel();
        let mut incoming = duplex.incoming;
        let event = LoopInput::SessionOpened {
            session,
            entry: entry.to_string(),
            outgoing: duplex.outgoing,
            drained,
        };
        // The loop runs as long as the process.
        let _ = self.inputs.send(event);
        while let Some(frame) = incoming.recv().await {
            let event = ExecutionEvent::Frame { session, frame };
            let _ = self.inputs.send(LoopInput::Event(event));
        }
        let event = ExecutionEvent::SessionLost { session };
        let _ = self.inputs.send(LoopInput::Event(event));
        let _ = session_drained.await;
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
