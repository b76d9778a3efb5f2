//! The demands of homes at a runner, and the slots held for them.

use {
    crate::core::{ticket::AgentId, time::Instant},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time for which a slot is held for a home, in milliseconds; a home that crashed or stalled does
/// not use it.
const HOLD_MS: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Demand {
    since: Instant,
    tasks: u16,
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    slots: u16,
    until: Instant,
}

/// Homes that wait for a slot, longest wait first.
#[derive(Debug, Default)]
pub(crate) struct DemandQueue {
    demands: BTreeMap<AgentId, Demand>,
    by_wait: BTreeSet<(Instant, AgentId)>,
    holds: BTreeMap<AgentId, Hold>,
    held: u16,
}

impl DemandQueue {
    /// Sets how many tasks of a home wait, the oldest since `since`.
    pub(crate) fn set_demand(&mut self, home: AgentId, since: Instant, tasks: u16) {
        self.remove_demand(home);
        if tasks > 0 {
            self.demands.insert(home, Demand { since, tasks });
            self.by_wait.insert((since, home));
        }
    }

    fn remove_demand(&mut self, home: AgentId) {
        if let Some(demand) = self.demands.remove(&home) {
            self.by_wait.remove(&(demand.since, home));
        }
    }

    /// Removes a home's demand and the slots held for it.
    pub(crate) fn remove_home(&mut self, home: AgentId) {
        self.remove_demand(home);
        if let Some(hold) = self.holds.remove(&home) {
            self.held -= hold.slots;
        }
    }

    /// Holds one slot for the home that has waited longest and returns that home.
    pub(crate) fn hold_slot(&mut self, now: Instant) -> Option<AgentId> {
        let (since, home) = *self.by_wait.first()?;
        let demand = self.demands.get_mut(&home)?;
        demand.tasks -= 1;
        if demand.tasks == 0 {
            self.demands.remove(&home);
            self.by_wait.remove(&(since, home));
        }
        let hold = self.holds.entry(home).or_insert(Hold {
            slots: 0,
            until: now,
        });
        hold.slots += 1;
        hold.until = now.plus_ms(HOLD_MS);
        self.held += 1;
        Some(home)
    }

    /// Releases one slot held for a home as a task starts; false if none is held.
    pub(crate) fn consume_hold(&mut self, home: AgentId) -> bool {
        let Some(hold) = self.holds.get_mut(&home) else {
            return false;
        };
        hold.slots -= 1;
        self.held -= 1;
        if hold.slots == 0 {
            self.holds.remove(&home);
        }
        true
    }

    /// Releases held slots whose time has expired.
    pub(crate) fn expire_holds(&mut self, now: Instant) {
        let held = &mut self.held;
        self.holds.retain(|_, hold| {
            let keep = now < hold.until;
            if !keep {
                *held -= hold.slots;
            }
            keep
        });
    }

    /// Slots held for all homes.
    pub(crate) const fn held(&self) -> u16 {
        self.held
    }

    /// Slots held for one home.
    pub(crate) fn held_for(&self, home: AgentId) -> u16 {
        self.holds.get(&home).map_or(0, |hold| hold.slots)
    }
}
