//! State that the components of an entry share.

use {
    crate::core::routes::SiteConfig,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::{
        sync::watch,
        time::{Instant, timeout_at},
    },
};

/// Configuration in force, and the inputs of the readiness probe.
#[derive(Debug, Default)]
pub(super) struct EntryState {
    config: watch::Sender<Option<Arc<SiteConfig>>>,
    has_workers: AtomicBool,
    leaving: AtomicBool,
}

impl EntryState {
    /// Returns the configuration in force, if any has been read.
    pub(super) fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.borrow().clone()
    }

    /// Waits for the first configuration, until `deadline` at most.
    pub(super) async fn wait_for_config(&self, deadline: Instant) -> Option<Arc<SiteConfig>> {
        let mut config = self.config.subscribe();
        let config = timeout_at(deadline, config.wait_for(Option::is_some)).await;
        config.ok()?.ok()?.clone()
    }

    /// Replaces the configuration in force.
    pub(super) fn set_config(&self, config: SiteConfig) {
        self.config.send_replace(Some(Arc::new(config)));
    }

    /// Records whether some worker accepts tasks.
    pub(super) fn set_has_workers(&self, has_workers: bool) {
        self.has_workers.store(has_workers, Ordering::Relaxed);
    }

    /// Records that the process is shutting down.
    pub(super) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the process is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether the load balancer should route new clients to this entry.
    pub(super) fn is_ready(&self) -> bool {
        self.config().is_some() && self.has_workers.load(Ordering::Relaxed) && !self.is_leaving()
    }
}
