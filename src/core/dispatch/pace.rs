//! How fast an entry gets through the work that waits.

use super::worker_link::WorkerLink;

/// Tasks that an entry has at work at a time.
///
/// Work is measured by the clients' estimates: a task of 200 ms is as much as two of 100 ms.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    tasks_at_work: f64,
}

impl Pace {
    /// Adds up what each worker does for this entry; `tasks_of` says how many tasks it takes from it at a time.
    pub(super) fn of<'a>(
        workers: impl Iterator<Item = &'a WorkerLink>,
        tasks_of: impl Fn(&WorkerLink) -> f64,
    ) -> Self {
        let speeds = workers.map(|worker| tasks_of(worker) / worker.slowness);
        Self {
            tasks_at_work: speeds.sum(),
        }
    }

    /// Whether there are workers to tell by.
    pub(super) fn is_known(self) -> bool {
        self.tasks_at_work > 0.0
    }

    /// What is left where so much work comes, in milliseconds of work a millisecond; `None` for nothing.
    pub(super) fn less(self, arriving: f64) -> Option<Self> {
        let tasks_at_work = self.tasks_at_work - arriving;
        (tasks_at_work > 0.0).then_some(Self { tasks_at_work })
    }

    /// Time until so much work is done, in milliseconds; zero where nobody knows.
    pub(super) fn time_for_ms(self, work_ms: u64) -> u64 {
        if self.tasks_at_work <= 0.0 {
            return 0;
        }
        (work_ms as f64 / self.tasks_at_work) as u64
    }
}
