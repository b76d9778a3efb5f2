//! What a home knows of a runner when it places a task.

use crate::core::time::Instant;

/// Free slots older than this are a guess: other homes start tasks there too.
const STALE_AFTER_MS: u64 = 50;

/// A runner as seen by one home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunnerView {
    /// Slots that the runner last reported free, less what was started there since.
    pub(crate) free_slots: u16,
    /// Tasks of this home that run there.
    pub(crate) outstanding: u16,
    /// When the runner last reported.
    pub(crate) heard_at: Instant,
}

impl RunnerView {
    /// Free slots to count on; a stale zero without own tasks there is worth one try.
    pub(crate) fn usable_slots(&self, now: Instant) -> u16 {
        let stale = now.millis_since(self.heard_at) >= STALE_AFTER_MS;
        if self.free_slots == 0 && self.outstanding == 0 && stale {
            return 1;
        }
        self.free_slots
    }
}
