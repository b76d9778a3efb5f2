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
const WAIT_MS: u64 = 5_000;
/// Answers by which the feed is followed behind; the store's history must reach as far back.
const FEED_LAG: usize = 2;
/// Pauses after calls to the store that failed, in milliseconds; the first is doubled up to the last.
const FIRST_STORE_PAUSE_MS: u64 = 100;
const LAST_STORE_PAUSE_MS: u64 = 1_000;
/// Pause between a change of the list and reading it, in milliseconds, at least and at most.
///
/// An entry is three changes, and all entries may start together. Without the pause each change would be two
/// calls of each agent: at 1,500 agents and 24 changes ten times what the store takes in a second.
const SETTLE_MS: (u64, u64) = (200, 800);
/// Pauses after an entry could not be reached, in milliseconds; the first is doubled up to the last.
///
/// An entry that starts again is met within the last one; one that is gone for good costs a packet each.
const FIRST_DIAL_PAUSE_MS: u64 = 50;
const LAST_DIAL_PAUSE_MS: u64 = 800;

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
        let mut backoff = Backoff::new(FIRST_STORE_PAUSE_MS, LAST_STORE_PAUSE_MS);
        loop {
            match self.read_list().await {
                Ok((entries, version)) => {
                    backoff.reset();
                    self.dial_new(&entries, &mut dialled);
                    match self.wait_for_change(version).await {
                        Ok(()) => settle().await,
                        Err(error) => pause(&error, &mut backoff).await,
                    }
                }
                Err(error) => {
                    if dialled.is_empty() {
                        self.dial_new(&self.seeds, &mut dialled);
                    }
                    pause(&error, &mut backoff).await;
                }
            }
        }
    }

    /// Reads the first copy of the list that can be read, beginning with any.
    async fn read_list(&self) -> Result<(Vec<SocketAddr>, u64), StoreError> {
        let mut copies = EntryListReplica::ALL;
        let first = rand::random_range(0..copies.len());
        copies.rotate_left(first);
        let [first, others @ ..] = copies;
        let mut read = self.store.read_entries(first).await;
        for copy in others {
            if read.is_ok() {
                return read;
            }
            read = self.store.read_entries(copy).await;
        }
        read
    }

    /// Returns once some copy of the list has changed.
    async fn wait_for_change(&self, read_at: u64) -> Result<(), StoreError> {
        let mut cursor = FeedCursor::new(read_at, FEED_LAG);
        loop {
            match self.store.wait_for_entries(cursor.after(), WAIT_MS).await? {
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
                tokio::spawn(Arc::clone(self).keep(*entry, is_listed));
                listed
            });
        }
    }

    /// Keeps a session with one entry whenever it is listed.
    ///
    /// An address has one keeper for good. Guards against two sessions with one entry: the list may lose an entry and
    /// have it again while its session lives, and a second hello would tell the entry that nothing of
    /// the first session runs.
    async fn keep(self: Arc<Self>, entry: SocketAddr, mut is_listed: watch::Receiver<bool>) {
        let mut backoff = Backoff::new(FIRST_DIAL_PAUSE_MS, LAST_DIAL_PAUSE_MS);
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
        let (cleared, is_clear) = oneshot::channel();
        let mut incoming = duplex.incoming;
        let opened = LoopInput::Opened {
            session,
            entry: entry.to_string(),
            outgoing: duplex.outgoing,
            cleared,
        };
        // The loop ends only with the process.
        let _ = self.inputs.send(opened);
        while let Some(frame) = incoming.recv().await {
            let event = ExecutionEvent::Frame { session, frame };
            let _ = self.inputs.send(LoopInput::Event(event));
        }
        let lost = ExecutionEvent::SessionLost { session };
        let _ = self.inputs.send(LoopInput::Event(lost));
        let _ = is_clear.await;
    }
}

/// Waits until the other entries that come or go at the same moment are on the list, too.
async fn settle() {
    let (least, most) = SETTLE_MS;
    sleep(Duration::from_millis(rand::random_range(least..=most))).await;
}

async fn pause(error: &StoreError, backoff: &mut Backoff) {
    log::info!(error:% = error; "the list of entries can't be read");
    backoff.wait().await;
}
