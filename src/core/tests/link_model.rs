//! Sessions between agents and entries.

use crate::core::time::Instant;

/// One session. Frames arrive in order; a stalled session delays them until the stall ends.
#[derive(Debug)]
pub(super) struct LinkModel {
    pub(super) entry: usize,
    pub(super) agent: usize,
    /// Incarnations of the entry and the agent that opened it.
    pub(super) incarnations: (u64, u64),
    pub(super) stalled_until: Instant,
    /// Arrival of the last frame in each direction: to the entry, to the agent.
    pub(super) last_arrival: [Instant; 2],
    pub(super) open_at_entry: bool,
    pub(super) open_at_agent: bool,
}

impl LinkModel {
    /// Returns the arrival time of a frame sent now.
    pub(super) fn schedule_arrival(
        &mut self,
        now: Instant,
        direction: usize,
        delay_us: u64,
    ) -> Instant {
        let at = now.plus_micros(delay_us).max(self.stalled_until);
        let at = at.max(self.last_arrival[direction].plus_micros(1));
        self.last_arrival[direction] = at;
        at
    }
}
