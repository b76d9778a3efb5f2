//! What a runner remembers of one home.

use {
    super::SessionId,
    crate::core::{
        job::{TaskOutcome, TaskRef},
        time::Instant,
    },
    std::collections::BTreeMap,
};

/// An outcome that its home has not acknowledged.
#[derive(Debug)]
pub(crate) struct UnacknowledgedOutcome {
    pub(crate) outcome: TaskOutcome,
    pub(crate) epoch: u64,
    pub(crate) ended_at: Instant,
}

/// The sessions, running tasks and unacknowledged outcomes of one home.
#[derive(Debug, Default)]
pub(crate) struct HomeLink {
    /// Highest epoch seen; starts on lower ones are refused.
    pub(crate) epoch: u64,
    /// Starts taken in on the session of that epoch.
    pub(crate) starts_seen: u32,
    /// The session of that epoch, while it is open.
    pub(crate) session: Option<SessionId>,
    /// Running tasks with the epoch they were started on.
    pub(crate) running: BTreeMap<TaskRef, u64>,
    /// Ended tasks until the home acknowledges them.
    pub(crate) ended: BTreeMap<TaskRef, UnacknowledgedOutcome>,
    /// Outcomes of starts up to this epoch may have been dropped.
    pub(crate) dropped_through_epoch: u64,
    /// When the link was last in use.
    pub(crate) used_at: Instant,
}

impl HomeLink {
    /// The link of a home that opens a session of this epoch and is not remembered.
    ///
    /// Guards against a false "never started": a home has tasks from earlier sessions here only
    /// if this runner had welcomed them, so whoever asks after such a task asks after something
    /// that was forgotten together with the link.
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            dropped_through_epoch: epoch.saturating_sub(1),
            ..Self::default()
        }
    }

    /// Whether nothing of this home is left here that it could still ask for.
    pub(crate) fn is_idle(&self, now: Instant, retention_ms: u64) -> bool {
        self.session.is_none()
            && self.running.is_empty()
            && self.ended.is_empty()
            && now.millis_since(self.used_at) >= retention_ms
    }

    /// Drops outcomes that nobody asked for in `retention_ms`.
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
