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
pub(crate) struct KeptOutcome {
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
    pub(crate) ended: BTreeMap<TaskRef, KeptOutcome>,
    /// Outcomes of starts up to this epoch may have been dropped.
    pub(crate) forgot_through_epoch: u64,
    /// When the link was last in use.
    pub(crate) used_at: Instant,
}

impl HomeLink {
    /// Drops outcomes that nobody asked for in `keep_ms`.
    pub(crate) fn drop_old_outcomes(&mut self, now: Instant, keep_ms: u64) {
        let mut forgot = self.forgot_through_epoch;
        self.ended.retain(|_, kept| {
            let keep = now.millis_since(kept.ended_at) < keep_ms;
            if !keep {
                forgot = forgot.max(kept.epoch);
            }
            keep
        });
        self.forgot_through_epoch = forgot;
    }
}
