//! Which few of many runners an entry names to a job's home.

use {
    super::home_share::{own_range, rank},
    crate::core::{message::Candidate, ticket::AgentId},
};

/// Runners named from the home's own share on, in the order of ranks.
const NEAR_RUNNERS: usize = 64;
/// Runners with free slots named beyond those.
const FREE_RUNNERS: usize = 32;

/// The homes of one service's jobs and the runners that could take their tasks.
#[derive(Debug)]
pub(crate) struct RunnerRing {
    /// Active homes, in the order of their ranks.
    homes: Vec<AgentId>,
    /// In the order of their ranks.
    runners: Vec<Candidate>,
}

impl RunnerRing {
    /// Puts the runners in their order; `homes` are the active ones.
    pub(crate) fn new(homes: Vec<AgentId>, mut runners: Vec<Candidate>) -> Self {
        runners.sort_unstable_by_key(|candidate| rank(candidate.runner));
        Self { homes, runners }
    }

    /// Names at most 96 runners, the same ones to the same home as long as they stay.
    ///
    /// Guards against jobs that cost more the more workers there are: at 1,500 workers the whole
    /// list is 29 KB for each job, and each home would hold a session with each runner. The near
    /// ones hold a job of 200 tasks more than twice over; the free ones beyond them differ from
    /// home to home, so that homes whose near ones are full don't all turn to the same runners. A
    /// job that still waits after a second is told of those that are free then.
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
