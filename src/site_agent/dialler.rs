//! Maintains sessions with the selected entries.

use {
    super::{
        execution_loop::{EntryLink, LoopInput},
        stale_entry_remover::StaleEntryRemover,
    },
    crate::{
        adapters::{link::dial_link, timer::Backoff},
        core::{
            entry_selection::{EntrySelection, SessionGoal},
            execution::{ExecutionEvent, SessionId},
        },
        ports::{Counter, Metrics, TimerService},
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

/// Backoff after a failed connection to an entry, in milliseconds.
const INITIAL_DIAL_BACKOFF_MS: u64 = 50;
const MAX_DIAL_BACKOFF_MS: u64 = 800;
/// Interval at which the selection is updated without a change, in milliseconds.
const SELECTION_INTERVAL_MS: u64 = 250;

/// Result of a connection attempt.
#[derive(Debug, Clone, Copy)]
struct DialResult {
    entry: SocketAddr,
    connected: bool,
}

/// Connects to the selected entries.
#[derive(Debug)]
pub(super) struct Dialler {
    pub(super) agent: String,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) last_session: AtomicU64,
    pub(super) stale_entry_remover: Arc<StaleEntryRemover>,
}

impl Dialler {
    /// Selects entries from the latest list and maintains sessions with them, until no more lists
    /// are sent.
    pub(super) async fn run(self: Arc<Self>, mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>) {
        let mut selection = EntrySelection::new(self.agent.clone());
        let mut goals: BTreeMap<SocketAddr, watch::Sender<SessionGoal>> = BTreeMap::new();
        let (results, mut dial_results) = mpsc::unbounded_channel();
        let mut ticks = self.timer.subscribe(SELECTION_INTERVAL_MS);
        loop {
            tokio::select! {
                entries = lists.recv() => match entries {
                    Some(entries) => selection.set_listed(&entries),
                    None => return,
                },
                Some(result) = dial_results.recv() => {
                    self.record_result(&mut selection, result);
                }
                _ = ticks.recv() => {}
            }
            let now = self.timer.now();
            let selected = selection.update(now);
            for entry in selection.take_stale(now) {
                tokio::spawn(Arc::clone(&self.stale_entry_remover).remove(entry));
            }
            for (entry, goal) in selected {
                let goals = goals.entry(entry).or_insert_with(|| {
                    let (sender, receiver) = watch::channel(goal);
                    let session =
                        Arc::clone(&self).maintain_session(entry, receiver, results.clone());
                    tokio::spawn(session);
                    sender
                });
                goals.send_if_modified(|known| std::mem::replace(known, goal) != goal);
            }
        }
    }

    fn record_result(&self, selection: &mut EntrySelection, result: DialResult) {
        if result.connected {
            selection.record_connected(result.entry);
        } else {
            selection.record_failure(self.timer.now(), result.entry);
        }
    }

    /// Maintains a session with one entry while it is selected.
    ///
    /// Each address has a single task for the lifetime of the process. An entry may be delisted and
    /// listed again while its session is open; the hello of a second session would tell the entry
    /// that no run of the first session exists.
    async fn maintain_session(
        self: Arc<Self>,
        entry: SocketAddr,
        mut goal: watch::Receiver<SessionGoal>,
        results: mpsc::UnboundedSender<DialResult>,
    ) {
        let mut backoff = Backoff::new(INITIAL_DIAL_BACKOFF_MS, MAX_DIAL_BACKOFF_MS);
        // The sender lives as long as the process.
        while goal
            .wait_for(|goal| *goal == SessionGoal::Maintain)
            .await
            .is_ok()
        {
            let link = dial_link(entry, Arc::clone(&self.metrics)).await;
            let connected = link.is_ok();
            // The receiver lives as long as the process.
            let _ = results.send(DialResult { entry, connected });
            match link {
                Ok(link) => {
                    backoff.reset();
                    self.run_session(entry, link, &mut goal).await;
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
    async fn run_session(
        &self,
        entry: SocketAddr,
        link: EntryLink,
        goal: &mut watch::Receiver<SessionGoal>,
    ) {
        let session = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed));
        let (drained, session_drained) = oneshot::channel();
        let mut incoming = link.incoming;
        // The loop runs as long as the process.
        let _ = self.inputs.send(LoopInput::SessionOpened {
            session,
            entry: entry.to_string(),
            outgoing: link.outgoing,
            drained,
        });
        let mut is_retired = false;
        loop {
            let retire = goal.wait_for(|goal| *goal == SessionGoal::Retire);
            let event = tokio::select! {
                frame = incoming.recv() => match frame {
                    Some(frame) => ExecutionEvent::Frame { session, frame },
                    None => break,
                },
                _ = retire, if !is_retired => {
                    is_retired = true;
                    ExecutionEvent::RetireSession { session }
                }
            };
            let _ = self.inputs.send(LoopInput::Event(event));
        }
        let event = ExecutionEvent::SessionLost { session };
        let _ = self.inputs.send(LoopInput::Event(event));
        let _ = session_drained.await;
    }
}
