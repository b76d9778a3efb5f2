//! Capacity of a service's workers as a whole.

use crate::core::work::Resources;

/// Sum of the workers of one service that an entry can use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PoolCapacity {
    cpu_milli: u64,
    memory_mb: u64,
    accelerators: u64,
    /// Cores of all workers, at the speed for which clients estimate run times.
    speed_cores: f64,
    /// This entry's share of `speed_cores`.
    own_cores: f64,
}

impl PoolCapacity {
    /// Adds a worker; `share` is this entry's share of it, from zero to one, and `slowness` its run
    /// time divided by the estimate.
    pub(crate) fn add_worker(&mut self, capacity: Resources, share: f64, slowness: f64) {
        self.cpu_milli += u64::from(capacity.cpu_milli);
        self.memory_mb += u64::from(capacity.memory_mb);
        self.accelerators += u64::from(capacity.accelerators);
        let cores = f64::from(capacity.cpu_milli) / 1_000.0 / slowness;
        self.speed_cores += cores;
        self.own_cores += cores * share;
    }

    pub(crate) const fn speed_cores(&self) -> f64 {
        self.speed_cores
    }

    pub(crate) const fn own_cores(&self) -> f64 {
        self.own_cores
    }

    /// Number of cores that a task occupies, directly or by its part of the scarcest resource.
    ///
    /// Tasks of different queues need different resources, so numbers of tasks can't be compared.
    pub(crate) fn cores_of(&self, needs: Resources) -> f64 {
        let as_cpu_milli = |need: u32, total: u64| match total {
            0 => 0.0,
            total => f64::from(need) * self.cpu_milli as f64 / total as f64,
        };
        let cpu_milli = f64::from(needs.cpu_milli)
            .max(as_cpu_milli(needs.memory_mb, self.memory_mb))
            .max(as_cpu_milli(needs.accelerators, self.accelerators));
        cpu_milli / 1_000.0
    }
}
