//! The worker beside the agent, as far as it is known.

use crate::core::{time::Instant, work::WorkerView};

/// A reading of the worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClockReading {
    /// What it showed, in milliseconds.
    pub(super) clock_ms: u64,
    /// When the answer arrived here; the clock shows at least as much from then on.
    pub(super) at: Instant,
}

/// One life of the worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// What it last said of itself.
    pub(super) view: WorkerView,
    /// Number of its last report.
    pub(super) report_sequence: u64,
    /// When word of it came from an earlier process; `None` once it has reported to this one.
    pub(super) restored_at: Option<Instant>,
    /// Its clock; unknown until its first list.
    pub(super) clock: Option<ClockReading>,
    /// Newest end that was taken in.
    pub(super) last_seen_end: u64,
    /// Nothing runs there that nobody here started.
    pub(super) ready: bool,
    /// When it last answered a call.
    pub(super) last_response_at: Instant,
    /// When its lease is over, on this process's clock and at the latest.
    pub(super) lease_expires_at: Instant,
    /// When its lease was last renewed or tried to be.
    pub(super) renewed_at: Option<Instant>,
    /// A hold that waits for ends is under way since then.
    pub(super) long_poll_since: Option<Instant>,
    /// Looks without an answer since its last one.
    pub(super) failed_polls: u32,
    /// No look is made before then.
    pub(super) next_poll_at: Instant,
}

impl WorkerState {
    /// A life that nothing is known of but its own word.
    pub(super) const fn new(now: Instant, view: WorkerView, report_sequence: u64) -> Self {
        Self {
            view,
            report_sequence,
            restored_at: None,
            clock: None,
            last_seen_end: 0,
            ready: false,
            last_response_at: now,
            lease_expires_at: now,
            renewed_at: None,
            long_poll_since: None,
            failed_polls: 0,
            next_poll_at: now,
        }
    }
}
