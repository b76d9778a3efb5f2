//! Sessions between agents and entries.

use crate::core::time::Instant;

/// One session. Frames arrive in order; a silent one holds them until it heals or is closed.
#[derive(Debug)]
pub(super) struct LinkModel {
    pub(super) entry: usize,
    pub(super) agent: usize,
    /// Lives of both processes when it was opened; another life has nothing to do with it.
    pub(super) incarnations: (u64, u64),
    /// Nothing arrives before then.
    pub(super) stalled_until: Instant,
    /// When the newest frame of each direction arrives: to the entry, to the agent.
    pub(super) last_arrival: [Instant; 2],
    pub(super) open_at_entry: bool,
    pub(super) open_at_agent: bool,
}

impl LinkModel {
    /// When a frame that is sent now arrives.
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
