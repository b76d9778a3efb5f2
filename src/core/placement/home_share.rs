//! Assigns the role of active home to agents, and own runners to active homes.

use {crate::core::ticket::AgentId, std::ops::Range};

/// Number of runners per active home.
///
/// A home knows what it started itself and estimates the rest from old reports: few homes with
/// their own runners seldom estimate, while many homes keep each one's share of the starts, and the
/// cost of its crash, small.
const RUNNERS_PER_HOME: usize = 6;
/// Minimum number of active homes, so that one may fail or leave.
const MIN_HOMES: usize = 2;
/// Multiplier of the `splitmix64` finalizer's first step.
const SPLITMIX64_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// A total order of agents that is the same at every entry and independent of zones and names.
pub(super) fn rank(agent: AgentId) -> (u64, AgentId) {
    let mixed = (agent.0 ^ (agent.0 >> 30)).wrapping_mul(SPLITMIX64_MULTIPLIER);
    (mixed ^ (mixed >> 27), agent)
}

/// The active homes for new jobs, out of all agents that can be homes.
pub(crate) fn active_homes(mut agents: Vec<AgentId>) -> Vec<AgentId> {
    let count = agents.len().div_ceil(RUNNERS_PER_HOME).max(MIN_HOMES);
    agents.sort_unstable_by_key(|agent| rank(*agent));
    agents.truncate(count);
    agents
}

/// A home's own runners: an even share of all runners, as positions in rank order; `None` if the
/// home is not active.
///
/// Shares are contiguous and in rank order, so that adding or removing a home or runner only shifts
/// their boundaries.
pub(super) fn own_range(home: AgentId, homes: &[AgentId], runners: usize) -> Option<Range<usize>> {
    let position = homes.iter().position(|active| *active == home)?;
    let from = position * runners / homes.len();
    let to = (position + 1) * runners / homes.len();
    Some(from..to)
}
