//! One run at the worker.

use {
    super::SessionId,
    crate::core::{link::StartOrder, time::Instant},
};

/// How far the order to start it has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartState {
    /// The call is under way.
    Pending,
    /// Nobody knows whether the worker has it. A hold with a token above this one settles it.
    Unresolved {
        /// Token that the order carried.
        token: u64,
        /// The worker had it, perhaps in a life that is over.
        may_have_started: bool,
    },
    /// The worker has it since then.
    Confirmed {
        /// When the answer came.
        at: Instant,
    },
}

/// An order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StopState {
    /// Why, for logs.
    pub(super) cause: &'static str,
    /// When the newest call was made.
    pub(super) sent_at: Instant,
    /// Holds with this number or a higher one were sent after the worker took the stop.
    pub(super) confirmed_from_hold: Option<u64>,
}

/// A run that is not over.
#[derive(Debug)]
pub(super) struct Run {
    /// The session that it was started on.
    pub(super) session: SessionId,
    /// The entry's order.
    pub(super) order: StartOrder,
    /// Number of the run as the worker counts; above the entry's where an earlier run ended here.
    pub(super) number: u32,
    /// Calls made to start it.
    pub(super) start_calls: u32,
    /// When the order came.
    pub(super) received_at: Instant,
    /// How far the start has come.
    pub(super) start: StartState,
    /// The stop, if it is to stop.
    pub(super) stop: Option<StopState>,
}

impl Run {
    /// For how long it has run.
    pub(super) const fn ran_ms(&self, now: Instant) -> u64 {
        match self.start {
            StartState::Confirmed { at } => now.millis_since(at),
            StartState::Pending | StartState::Unresolved { .. } => 0,
        }
    }

    /// When nobody waits for its job any more.
    pub(super) const fn deadline(&self) -> Instant {
        self.received_at.plus_ms(self.order.time_left_ms)
    }
}
