//! A home's view of a runner, as input of placement.

use crate::core::time::Instant;

/// A runner as seen by one home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunnerView {
    /// Whether the runner is in this home's own share.
    pub(crate) own: bool,
    /// Free slots by the runner's last report, minus the tasks sent there since.
    pub(crate) free_slots: u16,
    /// Tasks that this home has sent there and that have not ended.
    pub(crate) outstanding: u16,
    /// When the runner's last report arrived.
    pub(crate) last_report_at: Instant,
}
