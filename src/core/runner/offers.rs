//! Offers free slots to the homes that wait for them.

use {
    super::{Runner, RunnerAction},
    crate::core::{
        message::{FreeSlots, RunnerFrame},
        ticket::AgentId,
        time::Instant,
    },
};

impl Runner {
    /// Idle slots that are not held for any home.
    pub(crate) fn free_slots(&self) -> u16 {
        self.slots
            .saturating_sub(self.running_count())
            .saturating_sub(self.demands.held())
    }

    /// Free slots as reported to this home.
    pub(super) fn free_for(&self, home: AgentId) -> FreeSlots {
        let held = self.demands.held_for(home);
        FreeSlots {
            slots: self.free_slots() + held,
            held,
            starts_seen: self.links.get(&home).map_or(0, |link| link.starts_seen),
        }
    }

    /// Offers free slots to the homes that have waited longest, if tasks may start here.
    pub(super) fn offer_slots(&mut self, now: Instant, actions: &mut Vec<RunnerAction>) {
        if self.leaving || self.services.is_empty() || !self.permit.is_valid(now) {
            return;
        }
        while self.free_slots() > 0
            && let Some(home) = self.demands.hold_slot(now)
        {
            let Some(session) = self.links.get(&home).and_then(|link| link.session) else {
                self.demands.remove_home(home);
                continue;
            };
            let free = self.free_for(home);
            let frame = RunnerFrame::Offer { free };
            actions.push(RunnerAction::Send { session, frame });
        }
    }

    pub(super) fn on_demand(
        &mut self,
        now: Instant,
        home: AgentId,
        tasks: u16,
        waited_ms: u64,
    ) -> Vec<RunnerAction> {
        if tasks == 0 {
            self.demands.remove_home(home);
        } else {
            self.demands
                .set_demand(home, now.minus_ms(waited_ms), tasks);
        }
        Vec::new()
    }
}
