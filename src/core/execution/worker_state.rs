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
    pub(super) recalled_at: Option<Instant>,
    /// Its clock; unknown until its first list.
    pub(super) clock: Option<ClockReading>,
    /// Newest end that was taken in.
    pub(super) ends_seen: u64,
    /// Nothing runs there that nobody here started.
    pub(super) ready: bool,
    /// When it last answered a call.
    pub(super) answered_at: Instant,
    /// When its lease is over, on this process's clock and at the latest.
    pub(super) lease_over_at: Instant,
    /// When its lease was last renewed or tried to be.
    pub(super) renewed_at: Option<Instant>,
    /// A hold that waits for ends is under way since then.
    pub(super) watching_since: Option<Instant>,
    /// Looks without an answer since its last one.
    pub(super) unanswered: u32,
    /// No look is made before then.
    pub(super) look_again_at: Instant,
}

impl WorkerState {
    /// A life that nothing is known of but its own word.
    pub(super) const fn new(now: Instant, view: WorkerView, report_sequence: u64) -> Self {
        Self {
            view,
            report_sequence,
            recalled_at: None,
            clock: None,
            ends_seen: 0,
            ready: false,
            answered_at: now,
            lease_over_at: now,
            renewed_at: None,
            watching_since: None,
            unanswered: 0,
            look_again_at: now,
        }
    }
}
