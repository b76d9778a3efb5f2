//! What a home knows of a runner when it places a task.

use crate::core::time::Instant;

/// A runner as seen by one home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunnerView {
    /// This home looks to the runner first.
    pub(crate) own: bool,
    /// Slots that the runner last reported free, less what was started there since.
    pub(crate) free_slots: u16,
    /// Tasks of this home that run there.
    pub(crate) outstanding: u16,
    /// When the runner last reported.
    pub(crate) reported_at: Instant,
}
