//! Which agents are homes, and which runners each of them looks to first.

use {crate::core::ticket::AgentId, std::ops::Range};

/// Runners for each home.
///
/// A home knows exactly what it started itself and guesses the rest from old reports. Few homes
/// with runners of their own seldom guess; a home for each few runners keeps each one's share of
/// the starts small, and what its death costs.
const RUNNERS_PER_HOME: usize = 6;
/// Least number of homes, so that one may die or leave.
const MIN_HOMES: usize = 2;
/// Odd constant of the `splitmix64` finalizer's first step, spreads neighbouring identities.
const SPLITMIX64_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// A total order of agents that every entry reckons alike, unrelated to zones and names.
pub(super) fn rank(agent: AgentId) -> (u64, AgentId) {
    let mixed = (agent.0 ^ (agent.0 >> 30)).wrapping_mul(SPLITMIX64_MULTIPLIER);
    (mixed ^ (mixed >> 27), agent)
}

/// The agents that new jobs are given to, out of all that could be homes.
pub(crate) fn active_homes(mut agents: Vec<AgentId>) -> Vec<AgentId> {
    let count = agents.len().div_ceil(RUNNERS_PER_HOME).max(MIN_HOMES);
    agents.sort_unstable_by_key(|agent| rank(*agent));
    agents.truncate(count);
    agents
}

/// The runners that a home looks to first: its even share of them all, as positions in the order
/// of their ranks; `None` if it is no active home.
///
/// Homes share in the order of their ranks, runners are dealt out in blocks in the order of
/// theirs, so that one more or less moves the shares' borders only.
pub(super) fn own_range(home: AgentId, homes: &[AgentId], runners: usize) -> Option<Range<usize>> {
    let position = homes.iter().position(|active| *active == home)?;
    let from = position * runners / homes.len();
    let to = (position + 1) * runners / homes.len();
    Some(from..to)
}
