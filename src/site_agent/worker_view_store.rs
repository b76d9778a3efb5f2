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
    pub(super) async fn run(self, views: watch::Receiver<Option<WorkerView>>) {
        match self.store.read_worker(&self.agent).await {
            Ok(Some(view)) => {
                let event = ExecutionEvent::WorkerRestored { view };
                // The loop runs as long as the process.
                let _ = self.inputs.send(LoopInput::Event(event));
            }
            Ok(None) => {}
            // The executor then waits for the worker's own report.
            Err(error) => log::info!(error:% = error; "failed to read the stored worker view"),
        }
        self.store_updates(views).await;
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
