//! Keeps what the worker says of itself in the platform's store, for the agent's next process.

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

/// Pauses after a write that failed, in milliseconds; the first is doubled up to the last.
const INITIAL_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 5_000;

/// One agent's row in the store.
#[derive(Debug)]
pub(super) struct WorkerViewStore {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) agent: String,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
}

impl WorkerViewStore {
    /// Tells the executor what an earlier process knew, then keeps what this one learns.
    pub(super) async fn run(self, views: watch::Receiver<Option<WorkerView>>) {
        match self.store.read_worker(&self.agent).await {
            Ok(Some(view)) => {
                let event = ExecutionEvent::WorkerRestored { view };
                // The loop ends only with the process.
                let _ = self.inputs.send(LoopInput::Event(event));
            }
            Ok(None) => {}
            // The worker's own report is awaited then.
            Err(error) => log::info!(error:% = error; "what is known of the worker can't be read"),
        }
        self.store_updates(views).await;
    }

    async fn store_updates(&self, mut views: watch::Receiver<Option<WorkerView>>) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        // The sender is gone only with the process.
        while views.changed().await.is_ok() {
            let Some(view) = views.borrow_and_update().clone() else {
                continue;
            };
            match self.store.store_worker(&self.agent, &view).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::info!(error:% = error; "what is known of the worker can't be kept");
                    views.mark_changed();
                    backoff.wait().await;
                }
            }
        }
    }
}
