//! Levels of the queues that compete for the worker.

use {
    super::Executor,
    crate::core::{link::QueueLevel, queue_shares::COMPLETE_PERMILLE, time::Instant},
};

/// Smallest change of a level that is sent before the next regular heartbeat, in thousandths; that
/// one may be a liveness timeout away, in which a flood would fill the queues of the entries.
const MIN_CHANGE_PERMILLE: u16 = 50;

/// Whether a level differs so much from the one that was sent that the entry must learn of it.
pub(super) fn have_changed(levels: &[QueueLevel], sent: &[QueueLevel]) -> bool {
    let has_changed = |level: &QueueLevel| {
        let known = sent.iter().find(|known| known.queue == level.queue);
        let known = known.map_or(COMPLETE_PERMILLE, |known| known.level_permille);
        known.abs_diff(level.level_permille) >= MIN_CHANGE_PERMILLE
    };
    levels.iter().any(has_changed)
}

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
