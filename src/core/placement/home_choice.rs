//! Which home the next new job is given to.

use {
    super::active_homes,
    crate::core::{ticket::AgentId, time::Instant},
    rand::{RngExt, seq::IndexedRandom},
};

/// For how long the homes are not looked through anew, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 50;

/// The homes that new jobs are given to, with those that step in when all of them fail.
///
/// Looking through all agents that could be homes and ranking them cost more for each ticket the
/// more there are; so it is done after [`REFRESH_INTERVAL_MS`] only, or when no home is left to try. A home
/// that leaves or fails in between is found when it is tried.
#[derive(Debug, Default)]
pub(crate) struct HomeChoice {
    refreshed_at: Option<Instant>,
    active: Vec<AgentId>,
    standby: Vec<AgentId>,
}

impl HomeChoice {
    /// Whether the homes are to be looked through anew.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.refreshed_at
            .is_none_or(|refreshed_at| now.millis_since(refreshed_at) >= REFRESH_INTERVAL_MS)
    }

    /// Takes in all agents that could be homes.
    pub(crate) fn refresh(&mut self, now: Instant, homes: Vec<AgentId>) {
        self.refreshed_at = Some(now);
        self.active = active_homes(homes.clone());
        self.standby = homes;
        self.standby.retain(|home| !self.active.contains(home));
    }

    /// Tries homes in an order of chance until one gives something; those that don't are dropped.
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
