//! Persists the worker's view in the platform's store for the agent's next process.

use {
    super::execution_loop::LoopInput,
    crate::{
        adapters::timer::Backoff,
        core::{execution::ExecutionEvent, work::WorkerView},
        ports::SiteStore,
    },
    std::sync::Arc,
    tokio::sync::{mpsc, watch},
};

/// Maximum number of reads of the stored view; the worker reports to this process before the last one.
const MAX_READS: usize = 8;
/// Backoff after a failed read, in milliseconds; the agent has no worker until a read succeeds.
const INITIAL_READ_BACKOFF_MS: u64 = 50;
const MAX_READ_BACKOFF_MS: u64 = 400;
/// Backoff after a failed write, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 5_000;

/// The agent's row in the store.
#[derive(Debug)]
pub(super) struct WorkerViewStore {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) agent: String,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
}

impl WorkerViewStore {
    /// Restores the view of an earlier process, then stores each new one.
    pub(super) async fn run(self, mut views: watch::Receiver<Option<WorkerView>>) {
        tokio::select! {
            view = self.read_view() => {
                if let Some(view) = view {
                    let event = ExecutionEvent::WorkerRestored { view };
                    // The loop runs as long as the process.
                    let _ = self.inputs.send(LoopInput::Event(event));
                }
            }
            // The worker has reported to this process.
            _ = views.changed() => views.mark_changed(),
        }
        self.store_updates(views).await;
    }

    /// Reads the stored view, and again after a failure: hosts that return from an outage may start
    /// before the store can be reached, and the worker's own report arrives a second or two later.
    async fn read_view(&self) -> Option<WorkerView> {
        let mut backoff = Backoff::new(INITIAL_READ_BACKOFF_MS, MAX_READ_BACKOFF_MS);
        for _ in 0..MAX_READS {
            match self.store.read_worker(&self.agent).await {
                Ok(view) => return view,
                Err(error) => {
                    log::info!(error:% = error; "failed to read the stored worker view");
                    backoff.wait().await;
                }
            }
        }
        None
    }

    async fn store_updates(&self, mut views: watch::Receiver<Option<WorkerView>>) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        // The sender lives as long as the process.
        while views.changed().await.is_ok() {
            let Some(view) = views.borrow_and_update().clone() else {
                continue;
            };
            match self.store.store_worker(&self.agent, &view).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::info!(error:% = error; "failed to store the worker view");
                    views.mark_changed();
                    backoff.wait().await;
                }
            }
        }
    }
}
