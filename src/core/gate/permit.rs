//! A runner's permit to start tasks.

use crate::core::time::Instant;

/// A runner's permission to start tasks, which expires on its own monotonic clock.
///
/// A runner that is paused or disconnected can't start tasks in an evacuated zone, because its
/// permit expires. The expiry is computed from when the announcement was sent, so a delayed
/// reply doesn't extend the permit.
#[derive(Debug)]
pub(crate) struct Permit {
    expires_at: Instant,
    config_version: u64,
}

impl Permit {
    /// An expired permit, for a runner that has received none.
    pub(crate) const fn unissued() -> Self {
        Self {
            expires_at: Instant::from_micros(0),
            config_version: 0,
        }
    }

    /// Applies an entry's reply to the announcement sent at `sent_at`.
    ///
    /// Ignores replies with an older configuration version.
    pub(crate) fn renew(
        &mut self,
        sent_at: Instant,
        config_version: u64,
        zone_open: bool,
        permit_ms: u64,
    ) {
        if config_version < self.config_version {
            return;
        }
        self.config_version = config_version;
        if !zone_open {
            self.expires_at = Instant::default();
            return;
        }
        self.expires_at = self.expires_at.max(sent_at.plus_ms(permit_ms));
    }

    /// Whether a task may start now.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// When the permit expires.
    pub(crate) const fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// The newest configuration version received.
    pub(crate) const fn config_version(&self) -> u64 {
        self.config_version
    }
}
