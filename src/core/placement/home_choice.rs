//! Chooses a home for each new job.

use {
    super::active_homes,
    crate::core::{ticket::AgentId, time::Instant},
    rand::{RngExt, seq::IndexedRandom},
};

/// Minimum time between refreshes of the list of homes, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 50;

/// The active homes for new jobs, and standby homes that replace them when all of them fail.
///
/// Ranking all agents is too expensive for each ticket, so the list is refreshed only every
/// [`REFRESH_INTERVAL_MS`] or when no home is left. A home that leaves or fails in between is
/// dropped when it is tried.
#[derive(Debug, Default)]
pub(crate) struct HomeChoice {
    refreshed_at: Option<Instant>,
    active: Vec<AgentId>,
    standby: Vec<AgentId>,
}

impl HomeChoice {
    /// Whether the list of homes needs a refresh.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.refreshed_at
            .is_none_or(|refreshed_at| now.millis_since(refreshed_at) >= REFRESH_INTERVAL_MS)
    }

    /// Replaces the list with all agents that can be homes.
    pub(crate) fn refresh(&mut self, now: Instant, homes: Vec<AgentId>) {
        self.refreshed_at = Some(now);
        self.active = active_homes(homes.clone());
        self.standby = homes;
        self.standby.retain(|home| !self.active.contains(home));
    }

    /// Tries homes in random order until `try_home` returns a value; drops those where it doesn't.
    pub(crate) fn pick<T>(
        &mut self,
        rng: &mut impl RngExt,
        mut try_home: impl FnMut(AgentId) -> Option<T>,
    ) -> Option<T> {
        loop {
            if self.active.is_empty() {
                self.active.append(&mut self.standby);
            }
            let home = *self.active.choose(rng)?;
            if let Some(found) = try_home(home) {
                return Some(found);
            }
            self.active.retain(|active| *active != home);
        }
    }
}
