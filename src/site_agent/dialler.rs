//! Keeps a session with each entry on the list.

use {
    super::execution_loop::LoopInput,
    crate::{
        adapters::{link::dial_link, timer::Backoff},
        core::execution::{ExecutionEvent, SessionId},
        ports::{Change, Counter, Metrics, SiteStore, StoreError},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// Longest wait for a change of the list in one call, in milliseconds.
const WAIT_MS: u64 = 5_000;
/// Pauses after calls to the store that failed, in milliseconds; the first is doubled up to the last.
const FIRST_STORE_PAUSE_MS: u64 = 100;
const LAST_STORE_PAUSE_MS: u64 = 1_000;
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
}

impl Dialler {
    /// Follows the list of entries for as long as the process lives.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut dialled: BTreeMap<SocketAddr, watch::Sender<bool>> = BTreeMap::new();
        let mut backoff = Backoff::new(FIRST_STORE_PAUSE_MS, LAST_STORE_PAUSE_MS);
        loop {
            match self.store.read_entries().await {
                Ok((entries, version)) => {
                    backoff.reset();
                    self.dial_new(&entries, &mut dialled);
                    self.wait_for_change(version).await;
                }
                Err(error) => pause(&error, &mut backoff).await,
            }
        }
    }

    async fn wait_for_change(&self, read_at: u64) {
        let mut after = read_at;
        let mut backoff = Backoff::new(FIRST_STORE_PAUSE_MS, LAST_STORE_PAUSE_MS);
        loop {
            match self.store.wait_for_entries(after, WAIT_MS).await {
                Ok(Change::None { version }) => {
                    backoff.reset();
                    after = version;
                }
                Ok(Change::Some) => return,
                Err(error) => pause(&error, &mut backoff).await,
            }
        }
    }

    fn dial_new(
        self: &Arc<Self>,
        entries: &[SocketAddr],
        dialled: &mut BTreeMap<SocketAddr, watch::Sender<bool>>,
    ) {
        // An entry that has left keeps its session until it ends; it is dialled no more.
        dialled.retain(|entry, listed| {
            let stays = entries.contains(entry);
            if !stays {
                listed.send_replace(false);
            }
            stays
        });
        for entry in entries {
            dialled.entry(*entry).or_insert_with(|| {
                let (listed, is_listed) = watch::channel(true);
                tokio::spawn(Arc::clone(self).keep(*entry, is_listed));
                listed
            });
        }
    }

    /// Keeps a session with one entry while it is listed.
    async fn keep(self: Arc<Self>, entry: SocketAddr, is_listed: watch::Receiver<bool>) {
        let mut backoff = Backoff::new(FIRST_DIAL_PAUSE_MS, LAST_DIAL_PAUSE_MS);
        while *is_listed.borrow() {
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

async fn pause(error: &StoreError, backoff: &mut Backoff) {
    log::info!(error:% = error; "the list of entries can't be read");
    backoff.wait().await;
}
