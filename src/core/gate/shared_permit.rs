//! The permit as seen by whoever writes a task's bytes to the backend server.

use {
    crate::core::time::Instant,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The end of the runner's permit, shared with the connections to the backend server.
///
/// Guards against a process that is frozen between taking a start and writing its bytes: it
/// would start the task minutes later, in a zone that was taken out meanwhile. The write itself
/// looks here, so what matters is the permit at that moment, revocations included.
#[derive(Debug, Default)]
pub(crate) struct SharedPermit {
    expires_at_us: AtomicU64,
}

impl SharedPermit {
    /// Takes in the end of the permit as it is now.
    pub(crate) fn set_expiry(&self, expires_at: Instant) {
        self.expires_at_us
            .store(expires_at.as_micros(), Ordering::Release);
    }

    /// Whether a task may start now.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now.as_micros() < self.expires_at_us.load(Ordering::Acquire)
    }
}
