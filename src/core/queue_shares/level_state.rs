//! Changes of a queue's level between complete and reduced.

use {crate::core::time::Instant, std::sync::Arc};

/// Minimum time between two reported changes of one queue, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Whether all of a queue's demand fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LevelState {
    Complete,
    Reduced,
}

impl LevelState {
    /// Name of the state in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Reduced => "reduced",
        }
    }
}

/// A queue's new level.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LevelChange {
    pub(crate) queue: Arc<str>,
    pub(crate) level_permille: u16,
    /// Demand of the queue at this entry, in thousandths of a core at a time.
    pub(crate) demand_milli: u64,
    /// The new state, if it has changed and is to be logged.
    pub(crate) new_state: Option<LevelState>,
}

/// The state that was last logged for a queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoggedState {
    state: LevelState,
    logged_at: Option<Instant>,
}

impl LoggedState {
    pub(super) const fn new() -> Self {
        Self {
            state: LevelState::Complete,
            logged_at: None,
        }
    }

    /// Returns the state if it has changed and the last change was logged long enough ago.
    pub(super) fn update(&mut self, now: Instant, state: LevelState) -> Option<LevelState> {
        let is_recent = |at: Instant| now.millis_since(at) < REPORT_INTERVAL_MS;
        if state == self.state || self.logged_at.is_some_and(is_recent) {
            return None;
        }
        self.state = state;
        self.logged_at = Some(now);
        Some(state)
    }
}
