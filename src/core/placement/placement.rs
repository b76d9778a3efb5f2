//! The border behind which placement policies differ.

use {super::RunnerView, crate::core::time::Instant, std::fmt::Debug};

/// Chooses a runner for the next task of a job.
pub(crate) trait Placement: Debug + Send {
    /// Position of the chosen runner in `views`, or `None` to let the task wait.
    fn choose(&mut self, now: Instant, views: &[RunnerView]) -> Option<usize>;
}
