//! Weight of a worker for a task, by when the task would end there.

/// Time left divided by the expected run time from which a task is hardly ever late: estimates are off
/// by 40%, and a job needs all its tasks in time.
const SAFE_HEADROOM: f64 = 2.0;
/// The same from which a task has ample slack.
const AMPLE_HEADROOM: f64 = 2.5;
/// Exponent of the slowness for tasks with ample slack. A stronger preference for slow workers makes
/// long tasks late near saturation, since work on slow workers holds their slots for longer.
const AMPLE_EXPONENT: f64 = 0.25;
/// Exponent of the slowness for other tasks, as for workers of equal speed.
const TIGHT_EXPONENT: f64 = -1.0;
/// Bounds of the slowness in the weight, so that a single very slow or very fast worker doesn't
/// attract the tasks of all entries.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Minimum weight, for workers without free CPU and tasks that need none.
const MIN_WEIGHT: f64 = 1e-8;
/// Minimum factor for a worker on which the task would be just in time.
const MIN_CHANCE: f64 = 0.05;

/// A task that is to be placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskTerms {
    /// Estimated run time on a worker of normal speed, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// Time until the objective passes, in milliseconds.
    pub(crate) time_left_ms: u64,
    /// Factor of the run time if the task's data is on another rack.
    pub(crate) remote_penalty: f64,
}

/// A worker with free capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Run time divided by the estimate.
    pub(crate) slowness: f64,
    /// The task's data is on another rack.
    pub(crate) is_remote: bool,
    /// Free share of its capacity, from zero to one.
    pub(crate) free_share: f64,
}

/// How well a worker suits a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CompletionWeight {
    /// The task is expected to meet the objective there. Workers are chosen at random with this
    /// weight, so that entries with old reports don't all choose the same one.
    InTime(f64),
    /// The task is expected to miss the objective there.
    NotInTime,
}

impl TaskTerms {
    /// Expected run time, in milliseconds.
    pub(crate) fn expected_ms(&self, slowness: f64, is_remote: bool) -> f64 {
        let penalty = if is_remote { self.remote_penalty } else { 1.0 };
        self.estimate_ms as f64 * slowness * penalty
    }

    /// Whether the task meets its objective if it starts after `wait_ms` and runs for `expected_ms`.
    pub(crate) fn is_in_time(&self, wait_ms: f64, expected_ms: f64) -> bool {
        wait_ms + expected_ms <= self.time_left_ms as f64
    }

    /// Weight of a worker.
    ///
    /// The more likely the task is to be late there, the lower is the weight. Among workers with ample
    /// time, slow ones are slightly preferred, so that fast ones stay free for long tasks and for those with
    /// little time left.
    pub(crate) fn weight(&self, candidate: &Candidate) -> CompletionWeight {
        let expected_ms = self.expected_ms(candidate.slowness, candidate.is_remote);
        if !self.is_in_time(0.0, expected_ms) {
            return CompletionWeight::NotInTime;
        }
        let headroom = self.time_left_ms as f64 / expected_ms.max(1.0);
        let chance = (headroom - 1.0) / (SAFE_HEADROOM - 1.0);
        let chance = chance.clamp(MIN_CHANCE, 1.0);
        let (lowest, highest) = SLOWNESS_BOUNDS;
        let exponent = if headroom >= AMPLE_HEADROOM {
            AMPLE_EXPONENT
        } else {
            TIGHT_EXPONENT
        };
        let preference = candidate.slowness.clamp(lowest, highest).powf(exponent);
        let weight = (candidate.free_share * chance * preference).powi(2);
        CompletionWeight::InTime(weight.max(MIN_WEIGHT))
    }
}
