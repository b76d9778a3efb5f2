//! Resources of workers and tasks.

use serde::{Deserialize, Serialize};

/// CPU, memory and accelerators: required by a task, or total or free on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// CPU, in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Memory, in megabytes.
    pub(crate) memory_mb: u32,
    pub(crate) accelerators: u32,
}

impl Resources {
    /// Whether this fits into `free`.
    pub(crate) const fn fits(self, free: Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// How many times this fits into `free`.
    pub(crate) fn times_in(self, free: Self) -> u32 {
        let times = |need: u32, free: u32| free.checked_div(need).unwrap_or(u32::MAX);
        times(self.cpu_milli, free.cpu_milli)
            .min(times(self.memory_mb, free.memory_mb))
            .min(times(self.accelerators, free.accelerators))
    }

    /// Subtracts `other`, saturating at zero.
    pub(crate) const fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
