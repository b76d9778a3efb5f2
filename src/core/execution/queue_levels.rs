//! Levels of the queues that compete for the worker.

use {
    super::Executor,
    crate::core::{link::QueueLevel, time::Instant},
};

impl Executor {
    /// Levels of the queues, computed from the latest demands of all entries with a session that is
    /// in use. A lost session takes its demands along.
    pub(super) fn queue_levels(&mut self, now: Instant) -> Vec<QueueLevel> {
        let in_use = self.sessions.values();
        let in_use = in_use.filter(|link| link.retiring_since.is_none());
        let demands = in_use.map(|link| link.queue_demands.as_slice());
        self.demand_levels.at(now, demands).to_vec()
    }
}
