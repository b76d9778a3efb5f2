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
const FIRST_PAUSE_MS: u64 = 200;
const LAST_PAUSE_MS: u64 = 5_000;

/// One agent's row in the store.
#[derive(Debug)]
pub(super) struct WorkerMemory {
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) agent: String,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
}

impl WorkerMemory {
    /// Tells the executor what an earlier process knew, then keeps what this one learns.
    pub(super) async fn run(self, newest: watch::Receiver<Option<WorkerView>>) {
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
        self.keep(newest).await;
    }

    async fn keep(&self, mut newest: watch::Receiver<Option<WorkerView>>) {
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, LAST_PAUSE_MS);
        // The sender is gone only with the process.
        while newest.changed().await.is_ok() {
            let Some(view) = newest.borrow_and_update().clone() else {
                continue;
            };
            match self.store.store_worker(&self.agent, &view).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::info!(error:% = error; "what is known of the worker can't be kept");
                    newest.mark_changed();
                    backoff.wait().await;
                }
            }
        }
    }
}
