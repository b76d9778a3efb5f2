//! The permit's expiry, shared with the connections to the backend server.

use {
    crate::core::time::Instant,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Expiry of the runner's permit, checked just before a request is written.
///
/// A process may be suspended between accepting a start and writing the request. Checking at the
/// write applies any expiry or revocation that happened in between.
#[derive(Debug, Default)]
pub(crate) struct SharedPermit {
    expires_at_us: AtomicU64,
}

impl SharedPermit {
    /// Replaces the expiry.
    pub(crate) fn set_expiry(&self, expires_at: Instant) {
        self.expires_at_us
            .store(expires_at.as_micros(), Ordering::Release);
    }

    /// Whether a task may start now.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now.as_micros() < self.expires_at_us.load(Ordering::Acquire)
    }
}
