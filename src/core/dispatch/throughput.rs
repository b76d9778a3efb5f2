//! How fast an entry gets through the work that waits.

use super::worker_link::WorkerLink;

/// Tasks that an entry has at work at a time.
///
/// Work is measured by the clients' estimates: a task of 200 ms is as much as two of 100 ms.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    concurrent_tasks: f64,
}

impl Throughput {
    /// Adds up what each worker does for this entry; `tasks_of` says how many tasks it takes from it at a time.
    pub(super) fn from_workers<'a>(
        workers: impl Iterator<Item = &'a WorkerLink>,
        tasks_of: impl Fn(&WorkerLink) -> f64,
    ) -> Self {
        let speeds = workers.map(|worker| tasks_of(worker) / worker.slowness);
        Self {
            concurrent_tasks: speeds.sum(),
        }
    }

    /// Whether there are workers to tell by.
    pub(super) fn is_known(self) -> bool {
        self.concurrent_tasks > 0.0
    }

    /// What is left where so much work comes, in milliseconds of work a millisecond; `None` for nothing.
    pub(super) fn minus(self, arriving: f64) -> Option<Self> {
        let concurrent_tasks = self.concurrent_tasks - arriving;
        (concurrent_tasks > 0.0).then_some(Self { concurrent_tasks })
    }

    /// Time until so much work is done, in milliseconds; zero where nobody knows.
    pub(super) fn time_for_ms(self, work_ms: u64) -> u64 {
        if self.concurrent_tasks <= 0.0 {
            return 0;
        }
        (work_ms as f64 / self.concurrent_tasks) as u64
    }
}
