//! Estimates how fast an entry processes waiting work.

use {super::worker_link::WorkerLink, crate::core::worker_speed::NORMAL_PERMILLE};

/// Number of tasks that run for an entry at a time, weighted by the workers' speed.
///
/// Work is measured by the clients' estimates: one task of 200 ms equals two of 100 ms.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    concurrent_tasks: f64,
}

impl Throughput {
    /// Sums up all workers; `tasks_of` returns how many tasks a worker runs for this entry at a
    /// time.
    pub(super) fn from_workers<'a>(
        workers: impl Iterator<Item = &'a WorkerLink>,
        tasks_of: impl Fn(&WorkerLink) -> f64,
    ) -> Self {
        let speeds = workers.map(|worker| {
            // The reported figure: an error common to all estimates changes the throughput as well.
            tasks_of(worker) * f64::from(NORMAL_PERMILLE) / f64::from(worker.slowness_permille)
        });
        Self {
            concurrent_tasks: speeds.sum(),
        }
    }

    /// Whether any worker contributes to the estimate.
    pub(super) fn is_known(self) -> bool {
        self.concurrent_tasks > 0.0
    }

    /// Throughput left after `arriving` milliseconds of work per millisecond; `None` if nothing is
    /// left.
    pub(super) fn minus(self, arriving: f64) -> Option<Self> {
        let concurrent_tasks = self.concurrent_tasks - arriving;
        (concurrent_tasks > 0.0).then_some(Self { concurrent_tasks })
    }

    /// Time to process this much work, in milliseconds; zero if the throughput is unknown.
    pub(super) fn time_for_ms(self, work_ms: u64) -> u64 {
        if self.concurrent_tasks <= 0.0 {
            return 0;
        }
        (work_ms as f64 / self.concurrent_tasks) as u64
    }
}
