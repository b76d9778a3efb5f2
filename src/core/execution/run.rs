//! State of one run on the worker.

use {
    super::SessionId,
    crate::core::{link::StartOrder, time::Instant},
};

/// Progress of starting a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartState {
    /// The start call is in flight.
    Pending {
        /// When the call was sent.
        since: Instant,
        /// Token of the call.
        token: u64,
    },
    /// The outcome of the start call is unknown until the worker responds to a hold call with a
    /// higher token.
    Unresolved {
        /// Token of the start call.
        token: u64,
        /// The worker may have started the run, perhaps in an earlier incarnation.
        may_have_started: bool,
        /// When the run list was last requested.
        requested_at: Instant,
    },
    /// The worker has confirmed the run.
    Confirmed {
        /// When the confirmation arrived.
        at: Instant,
    },
}

/// Progress of stopping a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StopState {
    /// Cause of the stop, for logs.
    pub(super) cause: &'static str,
    /// When the latest stop call was sent.
    pub(super) sent_at: Instant,
    /// Sequence number of the first hold call sent after the worker confirmed the stop.
    pub(super) confirmed_from_hold: Option<u64>,
}

/// A worker that was replaced by one of another name while it had a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReplacedWorker {
    pub(super) id: String,
    /// When its lease has certainly expired.
    pub(super) lease_expires_at: Instant,
}

/// An unfinished run.
#[derive(Debug)]
pub(super) struct Run {
    /// The session of the entry that started it.
    pub(super) session: SessionId,
    pub(super) order: StartOrder,
    /// Run number at the worker; higher than the entry's if earlier runs of the task finished on
    /// this worker.
    pub(super) number: u32,
    /// Token of the latest start call.
    pub(super) token: u64,
    /// Number of start calls sent.
    pub(super) start_calls: u32,
    /// When the start order was received.
    pub(super) received_at: Instant,
    pub(super) start: StartState,
    /// The worker that has the run, unless that is the known one.
    pub(super) replaced_worker: Option<ReplacedWorker>,
    /// Set once the run is to be stopped.
    pub(super) stop: Option<StopState>,
}

impl Run {
    /// How long the run has been running, in milliseconds.
    pub(super) const fn ran_ms(&self, now: Instant) -> u64 {
        match self.start {
            StartState::Confirmed { at } => now.millis_since(at),
            StartState::Pending { .. } | StartState::Unresolved { .. } => 0,
        }
    }

    /// When the client's deadline passes.
    pub(super) const fn deadline(&self) -> Instant {
        self.received_at.plus_ms(self.order.time_left_ms)
    }
}
