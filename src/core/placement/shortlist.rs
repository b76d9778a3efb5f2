//! Selects the candidate runners that an entry sends to a job's home.

use {
    super::home_share::{own_range, rank},
    crate::core::{message::Candidate, ticket::AgentId},
};

/// Number of consecutive runners listed in rank order, starting with the home's own share.
const NEAR_RUNNERS: usize = 64;
/// Number of further runners with free slots listed after those.
const FREE_RUNNERS: usize = 32;

/// The active homes of a service and the runners that can run its tasks, both in rank order.
#[derive(Debug)]
pub(crate) struct RunnerRing {
    homes: Vec<AgentId>,
    runners: Vec<Candidate>,
}

impl RunnerRing {
    /// Sorts the runners by rank; `homes` are the active ones, already sorted.
    pub(crate) fn new(homes: Vec<AgentId>, mut runners: Vec<Candidate>) -> Self {
        runners.sort_unstable_by_key(|candidate| rank(candidate.runner));
        Self { homes, runners }
    }

    /// Lists at most `NEAR_RUNNERS + FREE_RUNNERS` runners for a home.
    ///
    /// The limit bounds the size of the list and the number of sessions per home. Near runners
    /// stay the same while the set of runners doesn't change. The free ones differ between homes,
    /// so that homes with full near runners don't all use the same others.
    pub(crate) fn shortlist(&self, home: AgentId) -> Vec<Candidate> {
        let count = self.runners.len();
        let own = own_range(home, &self.homes, count);
        let start = own.as_ref().map_or_else(
            || {
                self.runners
                    .partition_point(|candidate| rank(candidate.runner) < rank(home))
            },
            |own| own.start,
        );
        let in_ring_order = (0..count).map(|step| {
            let index = (start + step) % count;
            Candidate {
                own: own.as_ref().is_some_and(|own| own.contains(&index)),
                ..self.runners[index]
            }
        });
        if count <= NEAR_RUNNERS + FREE_RUNNERS {
            return in_ring_order.collect();
        }
        let farther = in_ring_order.clone().skip(NEAR_RUNNERS);
        let free = farther.filter(|candidate| candidate.free_slots > 0);
        in_ring_order
            .take(NEAR_RUNNERS)
            .chain(free.take(FREE_RUNNERS))
            .collect()
    }
}
