//! A job as a client hands it in.

use {super::Resources, crate::core::verdict::reasons, std::sync::Arc};

reasons! {
    /// Something that a job may ask for and that is not built.
    UnsupportedFeature {
        /// The job is to be stored before it is accepted.
        Durable => "durable",
        /// Tasks that work only together.
        Gang => "gang",
        /// Tasks that last until the job is cancelled.
        LongRunning => "long_running",
        /// Steps that run again and again at set times.
        Recurring => "recurring",
        /// Tasks that take what others leave unused.
        Filler => "filler",
        /// A queue whose starts need advice.
        Advice => "advice",
    }
}

/// One step: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StepSpec {
    /// How many tasks.
    pub(crate) tasks: u16,
    /// What each task takes up.
    pub(crate) needs: Resources,
    /// Rough run time of one task, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// Earlier steps that must have ended first.
    pub(crate) after: Vec<u16>,
    /// Label that the worker must have.
    pub(crate) required_label: Option<String>,
    /// Label of the rack where the data lies.
    pub(crate) data_rack: Option<String>,
    /// Most tasks of the step on one worker; zero for no limit.
    pub(crate) max_per_worker: u16,
}

/// A job that needs no storing: its answer is given once it has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobRequest {
    /// Text for the workers; the system does not look into it.
    pub(crate) spec: Arc<str>,
    /// The steps by position.
    pub(crate) steps: Vec<StepSpec>,
    /// What it asks for that is not built, if anything.
    pub(crate) unsupported: Option<UnsupportedFeature>,
}

impl JobRequest {
    /// Tasks of all steps.
    pub(crate) fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.tasks)).sum()
    }

    /// Run time of all tasks by the client's estimates, in milliseconds.
    pub(crate) fn work_ms(&self) -> u64 {
        let work_ms = |step: &StepSpec| u64::from(step.tasks) * step.estimate_ms;
        self.steps.iter().map(work_ms).sum()
    }
}
