//! A runner's state for one home.

use {
    super::SessionId,
    crate::core::{
        job::{TaskOutcome, TaskRef},
        time::Instant,
    },
    std::collections::BTreeMap,
};

/// A task outcome that its home has not acknowledged.
#[derive(Debug)]
pub(crate) struct UnacknowledgedOutcome {
    pub(crate) outcome: TaskOutcome,
    pub(crate) epoch: u64,
    pub(crate) ended_at: Instant,
}

/// The sessions, running tasks and unacknowledged outcomes of one home.
#[derive(Debug, Default)]
pub(crate) struct HomeLink {
    /// Highest session epoch seen; starts on lower epochs are refused.
    pub(crate) epoch: u64,
    /// Starts received on the session of that epoch.
    pub(crate) starts_seen: u32,
    /// The session of that epoch while it is open.
    pub(crate) session: Option<SessionId>,
    /// Running tasks, each with the epoch of the session that started it.
    pub(crate) running: BTreeMap<TaskRef, u64>,
    /// Ended tasks that the home has not acknowledged.
    pub(crate) ended: BTreeMap<TaskRef, UnacknowledgedOutcome>,
    /// Outcomes of tasks started up to this epoch may have been dropped.
    pub(crate) dropped_through_epoch: u64,
    /// When the link was last used.
    pub(crate) used_at: Instant,
}

impl HomeLink {
    /// Creates the link of an unknown home that opens a session with this epoch.
    ///
    /// Tasks of earlier epochs are reported as forgotten, not as never started: they belong to
    /// sessions that this runner accepted and whose records it dropped with the old link.
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            dropped_through_epoch: epoch.saturating_sub(1),
            ..Self::default()
        }
    }

    /// Whether the link has no session, tasks or outcomes and was unused for `retention_ms`.
    pub(crate) fn is_idle(&self, now: Instant, retention_ms: u64) -> bool {
        self.session.is_none()
            && self.running.is_empty()
            && self.ended.is_empty()
            && now.millis_since(self.used_at) >= retention_ms
    }

    /// Drops outcomes that are older than `retention_ms`.
    pub(crate) fn drop_expired_outcomes(&mut self, now: Instant, retention_ms: u64) {
        let mut dropped_through = self.dropped_through_epoch;
        self.ended.retain(|_, record| {
            let retain = now.millis_since(record.ended_at) < retention_ms;
            if !retain {
                dropped_through = dropped_through.max(record.epoch);
            }
            retain
        });
        self.dropped_through_epoch = dropped_through;
    }
}
