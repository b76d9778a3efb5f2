//! Keeps a session with each entry on the list.

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

/// Longest wait for a change of the list in one call, in milliseconds.
const LONG_POLL_MS: u64 = 5_000;
/// Answers by which the feed is followed behind; the store's history must reach as far back.
const FEED_LAG_RESPONSES: usize = 2;
/// Pauses after calls to the store that failed, in milliseconds; the first is doubled up to the last.
const INITIAL_STORE_BACKOFF_MS: u64 = 100;
const MAX_STORE_BACKOFF_MS: u64 = 1_000;
/// Pause between a change of the list and reading it, in milliseconds, at least and at most.
///
/// An entry is three changes, and all entries may start together. Without the pause each change would be two
/// calls of each agent: at 1,500 agents and 24 changes ten times what the store takes in a second.
const REREAD_DELAY_RANGE_MS: (u64, u64) = (200, 800);
/// Pauses after an entry could not be reached, in milliseconds; the first is doubled up to the last.
///
/// An entry that starts again is met within the last one; one that is gone for good costs a packet each.
const INITIAL_DIAL_BACKOFF_MS: u64 = 50;
const MAX_DIAL_BACKOFF_MS: u64 = 800;

/// Dials entries.
#[derive(Debug)]
pub(super) struct Dialler {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) last_session: AtomicU64,
    /// Entries to begin with where the list can't be read; some may be gone.
    pub(super) seeds: Vec<SocketAddr>,
}

impl Dialler {
    /// Follows the list of entries for as long as the process lives.
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

    /// Reads the first copy of the list that can be read, beginning with any.
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

    /// Returns once some copy of the list has changed.
    async fn wait_for_change(&self, read_at: u64) -> Result<(), StoreError> {
        let mut cursor = FeedCursor::new(read_at, FEED_LAG_RESPONSES);
        loop {
            match self
                .store
                .wait_for_entries(cursor.after(), LONG_POLL_MS)
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
        // An entry that has left keeps its session until it ends; it is dialled no more while it is not listed.
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

    /// Keeps a session with one entry whenever it is listed.
    ///
    /// An address has one keeper for good. Guards against two sessions with one entry: the list may lose an entry and
    /// have it again while its session lives, and a second hello would tell the entry that nothing of
    /// the first session runs.
    async fn maintain_session(
        self: Arc<Self>,
        entry: SocketAddr,
        mut is_listed: watch::Receiver<bool>,
    ) {
        let mut backoff = Backoff::new(INITIAL_DIAL_BACKOFF_MS, MAX_DIAL_BACKOFF_MS);
        // The sender is gone only with the process.
        while is_listed.wait_for(|listed| *listed).await.is_ok() {
            match dial_link(entry, Arc::clone(&self.metrics)).await {
                Ok(duplex) => {
                    backoff.reset();
                    self.run_session(entry, duplex).await;
                    self.metrics.count(Counter::PeerLosses, "session");
                }
                Err(error) => {
                    log::debug!(entry:% = entry, error:% = error; "an entry can't be reached");
                    backoff.wait().await;
                }
            }
        }
    }

    /// Returns when the session has ended and nothing that was started on it is left.
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
        // The loop ends only with the process.
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

/// Waits until the other entries that come or go at the same moment are on the list, too.
async fn wait_before_reread() {
    let (min_ms, max_ms) = REREAD_DELAY_RANGE_MS;
    sleep(Duration::from_millis(rand::random_range(min_ms..=max_ms))).await;
}

async fn back_off(error: &StoreError, backoff: &mut Backoff) {
    log::info!(error:% = error; "the list of entries can't be read");
    backoff.wait().await;
}
