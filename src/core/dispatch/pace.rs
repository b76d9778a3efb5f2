//! How fast room comes free for an entry.

use super::worker_link::WorkerLink;

/// Runs below which nothing is said: an entry that has just begun holds few slots, and has no queue of its own making.
const LEAST_RUNS: usize = 5;

/// Runs of this entry that end in a second, going by their estimates.
///
/// Each entry refills the slots that its own runs leave, so this is also how fast its queue drains.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    ends_per_s: f64,
}

impl Pace {
    /// Reckons with the runs that are at work.
    pub(super) fn of<'a>(workers: impl Iterator<Item = &'a WorkerLink>) -> Self {
        let (mut runs, mut ends_per_s) = (0, 0.0);
        for worker in workers {
            for run in worker.runs.values() {
                runs += 1;
                ends_per_s += 1_000.0 / (run.estimate_ms.max(1) as f64 * worker.slowness);
            }
        }
        if runs < LEAST_RUNS {
            return Self::default();
        }
        Self { ends_per_s }
    }

    /// Whether there are runs enough to tell.
    pub(super) fn is_known(self) -> bool {
        self.ends_per_s > 0.0
    }

    /// What is left of the pace when so many tasks come a second; `None` for nothing.
    pub(super) fn less(self, arrivals_per_s: f64) -> Option<Self> {
        let ends_per_s = self.ends_per_s - arrivals_per_s;
        (ends_per_s > 0.0).then_some(Self { ends_per_s })
    }

    /// Time until so many tasks have started, in milliseconds; zero where nobody knows.
    pub(super) fn time_for_ms(self, tasks: usize) -> u64 {
        if self.ends_per_s <= 0.0 {
            return 0;
        }
        (tasks as f64 / self.ends_per_s * 1_000.0) as u64
    }
}
