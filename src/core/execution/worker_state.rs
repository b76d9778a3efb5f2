//! State of the agent's worker.

use {
    crate::core::{time::Instant, work::WorkerView},
    std::{collections::BTreeMap, mem},
};

/// How long a second long poll is kept open after a call was lost, in milliseconds.
const LOSS_MEMORY_MS: u64 = 1_000;

/// A reading of the worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClockReading {
    /// Time shown, in milliseconds.
    pub(super) clock_ms: u64,
    /// When the response arrived; the worker's clock shows at least `clock_ms` from then on.
    pub(super) at: Instant,
}

/// Progress of the worker's planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// The worker has not announced that it leaves.
    Serving,
    /// The worker has announced that it leaves; its runs are being stopped.
    Leaving,
    /// No run is left at the leaving worker.
    Left,
}

/// State of one incarnation of the worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// The worker's latest report about itself.
    pub(super) view: WorkerView,
    pub(super) report_sequence: u64,
    /// Whether an earlier incarnation of the same name was known.
    pub(super) is_restart: bool,
    /// Newest call when the first run list of the incarnation arrived: responses to later calls are not of
    /// an earlier incarnation.
    pub(super) known_from_call: Option<u64>,
    /// Token when the incarnation became the known one.
    pub(super) first_token: u64,
    pub(super) departure: Departure,
    /// When it was last announced that the worker leaves.
    pub(super) leave_received_at: Option<Instant>,
    /// When the view was restored from an earlier process; `None` once the worker has reported to
    /// this one.
    pub(super) restored_at: Option<Instant>,
    /// `None` until the first run list.
    pub(super) clock: Option<ClockReading>,
    /// Sequence number of the newest [`super::ListedEnd`] that was applied.
    pub(super) last_seen_end: u64,
    /// Whether the worker accepts starts: it has no orphaned runs.
    pub(super) ready: bool,
    pub(super) last_response_at: Instant,
    /// Latest time at which the lease expires, on this process's clock.
    pub(super) lease_expires_at: Instant,
    /// When the latest lease renewal, or poll of a worker that is not ready, was sent.
    pub(super) renewed_at: Option<Instant>,
    /// Open long polls by sequence number, with the time at which they were sent.
    pub(super) long_polls: BTreeMap<u64, Instant>,
    /// Whether a call has timed out and nothing has arrived since it was sent.
    pub(super) is_unresponsive: bool,
    /// When a call was last found to be lost, although the worker responded to later ones.
    pub(super) call_lost_at: Option<Instant>,
    /// Failed polls since the last response.
    pub(super) failed_polls: u32,
    /// Latest polls in a row that the host refused.
    pub(super) refused_polls: u32,
    /// No poll is sent before then.
    pub(super) next_poll_at: Instant,
}

impl WorkerState {
    /// Creates the state of an incarnation that has not been polled yet.
    pub(super) fn new(
        now: Instant,
        view: WorkerView,
        report_sequence: u64,
        first_token: u64,
    ) -> Self {
        Self {
            view,
            report_sequence,
            is_restart: false,
            known_from_call: None,
            first_token,
            departure: Departure::Serving,
            leave_received_at: None,
            restored_at: None,
            clock: None,
            last_seen_end: 0,
            ready: false,
            last_response_at: now,
            lease_expires_at: now,
            renewed_at: None,
            long_polls: BTreeMap::new(),
            is_unresponsive: false,
            call_lost_at: None,
            failed_polls: 0,
            refused_polls: 0,
            next_poll_at: now,
        }
    }

    /// Number of long polls to keep open: two while calls get lost, so that the loss of one does not
    /// delay the outcomes of runs.
    pub(super) fn wanted_long_polls(&self, now: Instant) -> usize {
        let loses_calls = |lost_at: Instant| now.millis_since(lost_at) < LOSS_MEMORY_MS;
        if self.call_lost_at.is_some_and(loses_calls) {
            2
        } else {
            1
        }
    }

    /// Whether starts may be sent.
    pub(super) const fn accepts_starts(&self) -> bool {
        self.ready && !self.is_unresponsive
    }

    pub(super) fn record_response(&mut self, now: Instant) {
        self.last_response_at = now;
        if mem::take(&mut self.is_unresponsive) {
            // The lease was not renewed meanwhile.
            self.renewed_at = None;
        }
        self.failed_polls = 0;
        self.refused_polls = 0;
    }
}
