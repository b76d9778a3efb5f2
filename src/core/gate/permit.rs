//! The runner's side of the zone gate.

use crate::core::time::Instant;

/// A runner's right to start tasks, good until a point on its own monotonic clock.
///
/// Guards against starts in an availability zone after operators took it out: a runner that is
/// paused, cut off or told late holds no unexpired permit, and it checks just before the bytes
/// go to the backend server. The permit counts from when the announcement was sent, so a reply
/// that was under way for long grants no more than it should.
#[derive(Debug)]
pub(crate) struct Permit {
    expires_at: Instant,
    config_version: u64,
}

impl Permit {
    /// No permit yet.
    pub(crate) const fn unissued() -> Self {
        Self {
            expires_at: Instant::from_micros(0),
            config_version: 0,
        }
    }

    /// Takes in an entry's reply to the announcement sent at `sent_at`.
    ///
    /// Versions only grow: a reply from an entry that lags behind neither grants nor revokes.
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

    /// When the permit ends, for the check at the write.
    pub(crate) const fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// The newest configuration version seen.
    pub(crate) const fn config_version(&self) -> u64 {
        self.config_version
    }
}
