//! Capacity of a service's workers as a whole.

use crate::core::work::Resources;

/// Sum of the workers of one service that an entry can use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PoolCapacity {
    workers: u32,
    cpu_milli: u64,
    memory_mb: u64,
    accelerators: u64,
    /// This entry's share of the cores.
    own_cores: f64,
}

impl PoolCapacity {
    /// Adds a worker; `share` is this entry's share of it, from zero to one.
    pub(crate) fn add_worker(&mut self, capacity: Resources, share: f64) {
        self.workers += 1;
        self.cpu_milli += u64::from(capacity.cpu_milli);
        self.memory_mb += u64::from(capacity.memory_mb);
        self.accelerators += u64::from(capacity.accelerators);
        self.own_cores += f64::from(capacity.cpu_milli) / 1_000.0 * share;
    }

    pub(crate) const fn cores(&self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }

    pub(crate) const fn own_cores(&self) -> f64 {
        self.own_cores
    }

    fn mean_worker(&self) -> Resources {
        let mean = |total: u64| {
            let mean = total.checked_div(u64::from(self.workers)).unwrap_or(0);
            u32::try_from(mean).unwrap_or(u32::MAX)
        };
        Resources {
            cpu_milli: mean(self.cpu_milli),
            memory_mb: mean(self.memory_mb),
            accelerators: mean(self.accelerators),
        }
    }

    /// Number of cores of a mean worker that a task displaces: by its own need, by its part of a
    /// scarcer resource, or by a rest that is too small for another task.
    ///
    /// Tasks of different queues need different resources, so numbers of tasks can't be compared.
    pub(crate) fn cores_of(&self, needs: Resources) -> f64 {
        let worker = self.mean_worker();
        let own = f64::from(needs.cpu_milli) / 1_000.0;
        match needs.times_in(worker) {
            0 | u32::MAX => own,
            times => f64::from(worker.cpu_milli) / 1_000.0 / f64::from(times),
        }
    }
}
