//! Which few of many runners an entry names to a job's home.

use {
    super::home_share::rank,
    crate::core::{message::Candidate, ticket::AgentId},
};

/// Runners named from the home's own share on, in the order of ranks.
const NEAR_RUNNERS: usize = 64;
/// Runners with free slots named beyond those.
const FREE_RUNNERS: usize = 32;

/// Names at most 96 of the candidates, the same ones to the same home as long as they stay.
///
/// Guards against jobs that cost more the more workers there are: at 1,500 workers the whole list
/// is 29 KB for each job, and each home would hold a session with each runner. The near ones hold
/// a job of 200 tasks more than twice over; the free ones beyond them differ from home to home, so that
/// homes whose near ones are full don't all turn to the same runners. A job that still waits after
/// a second is told of those that are free then.
pub(crate) fn shortlist(home: AgentId, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    if candidates.len() <= NEAR_RUNNERS + FREE_RUNNERS {
        return candidates;
    }
    candidates.sort_unstable_by_key(|candidate| rank(candidate.runner));
    let own_at = candidates.iter().position(|candidate| candidate.own);
    let place = candidates.partition_point(|candidate| rank(candidate.runner) < rank(home));
    candidates.rotate_left(own_at.unwrap_or(place));
    let beyond = candidates.split_off(NEAR_RUNNERS);
    let free = beyond
        .into_iter()
        .filter(|candidate| candidate.free_slots > 0);
    candidates.extend(free.take(FREE_RUNNERS));
    candidates
}
