//! The interface of placement policies.

use {super::RunnerView, crate::core::time::Instant, std::fmt::Debug};

/// Chooses a runner for the next task of a job.
pub(crate) trait Placement: Debug + Send {
    /// Returns the index of the chosen runner in `views`, or `None` if the task must wait.
    fn choose(&mut self, now: Instant, views: &[RunnerView]) -> Option<usize>;
}
