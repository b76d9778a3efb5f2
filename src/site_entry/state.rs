//! What the parts of an entry share.

use {
    crate::core::routes::SiteConfig,
    std::sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

/// The configuration in force, and whether the entry is ready.
#[derive(Debug, Default)]
pub(super) struct EntryState {
    config: RwLock<Option<Arc<SiteConfig>>>,
    has_workers: AtomicBool,
    leaving: AtomicBool,
}

impl EntryState {
    /// The configuration in force, if any has been read.
    pub(super) fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force.
    pub(super) fn set_config(&self, config: SiteConfig) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(config));
    }

    /// Notes whether some worker can take tasks.
    pub(super) fn set_has_workers(&self, has_workers: bool) {
        self.has_workers.store(has_workers, Ordering::Relaxed);
    }

    /// Notes that the process is to end.
    pub(super) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the process is to end.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether new clients should come here.
    pub(super) fn is_ready(&self) -> bool {
        self.config().is_some() && self.has_workers.load(Ordering::Relaxed) && !self.is_leaving()
    }
}
