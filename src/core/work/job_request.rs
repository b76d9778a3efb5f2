//! A job as a client submits it.

use {
    super::{Resources, WorkerView},
    crate::core::verdict::reasons,
    std::sync::Arc,
};

reasons! {
    /// A feature that a job may request and that is not implemented.
    UnsupportedFeature {
        /// The job must be stored before it is accepted.
        Durable => "durable",
        /// Tasks that must run at the same time.
        Gang => "gang",
        /// Tasks that run until the job is cancelled.
        LongRunning => "long_running",
        /// Steps that repeat on a schedule.
        Recurring => "recurring",
        /// Tasks that use only otherwise idle capacity.
        Filler => "filler",
        /// A queue whose starts need a ticket of the advice service.
        Advice => "advice",
    }
}

/// A step: a set of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StepSpec {
    /// Number of tasks.
    pub(crate) tasks: u16,
    /// Resources that each task requires.
    pub(crate) needs: Resources,
    /// Estimated run time of one task, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// Positions of earlier steps that must end first.
    pub(crate) after: Vec<u16>,
    /// Label that the worker must have.
    pub(crate) required_label: Option<String>,
    /// Label of the rack that holds the data.
    pub(crate) data_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; zero for no limit.
    pub(crate) max_per_worker: u16,
}

impl StepSpec {
    /// Whether a worker has the label that the step requires, if any.
    pub(crate) fn has_required_label(&self, worker: &WorkerView) -> bool {
        let required = self.required_label.as_ref();
        required.is_none_or(|label| worker.labels.contains(label))
    }
}

/// A job that is not stored; its outcome is returned when it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobRequest {
    /// Opaque text for the workers.
    pub(crate) spec: Arc<str>,
    /// The steps by position.
    pub(crate) steps: Vec<StepSpec>,
    /// A requested feature that is not implemented, if any.
    pub(crate) unsupported: Option<UnsupportedFeature>,
}

impl JobRequest {
    /// Number of tasks in all steps.
    pub(crate) fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.tasks)).sum()
    }

    /// Total estimated run time of all tasks, in milliseconds.
    pub(crate) fn work_ms(&self) -> u64 {
        let work_ms = |step: &StepSpec| u64::from(step.tasks) * step.estimate_ms;
        self.steps.iter().map(work_ms).sum()
    }
}
