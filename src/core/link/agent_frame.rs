//! Frames from an agent to an entry.

use {
    super::{EvacuatedZones, QueueLevel},
    crate::core::{
        document::{DocumentPart, PartRequest},
        verdict::reasons,
        work::{JobId, Resources, RunId, TaskId, WorkerView},
    },
    serde::{Deserialize, Serialize},
};

reasons! {
    /// Why a run was not started; the worker has done nothing for it and never will.
    NotStartedReason {
        /// The agent has no ready worker.
        NoWorker => "no_worker",
        /// The worker or its agent is shutting down.
        Draining => "draining",
        /// The worker's availability zone is evacuated.
        Evacuated => "evacuated",
        /// The worker has not enough free capacity.
        NoRoom => "no_room",
        /// Another run of the task is unfinished on this worker.
        TaskBusy => "task_busy",
        /// A task of another queue's job with the same name is unfinished on this worker.
        NameInUse => "name_in_use",
        /// The task may crash workers, and another such task runs on this worker.
        SuspectBusy => "suspect_busy",
        /// The entry's lease has expired.
        RightLapsed => "right_lapsed",
        /// The worker reports itself unhealthy.
        Unhealthy => "unhealthy",
        /// The worker rejected the start call for another reason.
        Rejected => "rejected",
        /// The worker does not respond.
        Unresponsive => "unresponsive",
        /// The start call got no response, and a newer fencing token keeps it from taking effect.
        OrderLost => "order_lost",
    }
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunOutcome {
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was stopped before it finished.
    Stopped,
    /// The worker became unavailable or its lease expired; the run may have had effects.
    Lost,
    /// The run never started.
    NotStarted(NotStartedReason),
}

impl RunOutcome {
    /// Name of the outcome in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::NotStarted(reason) => reason.as_str(),
        }
    }
}

/// Free capacity of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CapacityReport {
    pub(crate) free: Resources,
    /// Start orders of this session that `free` accounts for.
    pub(crate) starts_seen: u32,
    /// Share of the worker's capacity for this entry, in thousandths; other entries get the rest.
    pub(crate) share_permille: u16,
    /// Run time on the worker divided by the estimate, in thousandths; 1,000 if unknown.
    pub(crate) slowness_permille: u16,
}

/// A frame from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AgentFrame {
    /// Opens the session; no run that this entry started here earlier is left.
    Hello {
        agent: String,
        /// The agent's clock, in microseconds.
        stamp_us: u64,
    },
    /// Heartbeat of the agent.
    Beat {
        /// The agent's clock, in microseconds.
        stamp_us: u64,
        /// Revision of the document that the agent holds; zero without one.
        document_revision: u64,
        /// Levels of the queues that compete for the worker.
        queue_levels: Vec<QueueLevel>,
    },
    /// The agent's worker, or `None` if it is not ready.
    Worker(Option<WorkerView>),
    /// Free capacity of the worker.
    Room {
        report: CapacityReport,
        /// The agent's clock, in microseconds.
        stamp_us: u64,
    },
    /// A run has finished.
    Ended {
        run: RunId,
        end: RunOutcome,
        /// How long the run was running.
        ran_ms: u64,
    },
    /// Evacuated zones, for an entry that uses an older version.
    News(EvacuatedZones),
    /// Requests a part of the entry's document.
    FetchDocument(PartRequest),
    /// A part of the agent's document, as requested by the entry.
    DocumentPart(DocumentPart),
    /// The worker crashed while it ran these tasks.
    Crashed { tasks: Vec<TaskId> },
    /// A client cancels a job at an entry that doesn't have it.
    CancelJob { job: JobId },
    /// A job was cancelled at another entry.
    JobCancelled { job: JobId },
}
