//! Frames from an agent to an entry.

use {
    super::EvacuatedZones,
    crate::core::{
        document::{DocumentPart, PartRequest},
        verdict::reasons,
        work::{Resources, RunId, WorkerView},
    },
    serde::{Deserialize, Serialize},
};

reasons! {
    /// Why a run was not started; its worker has done nothing for it and never will.
    NotStartedReason {
        /// The agent knows no worker that is ready.
        NoWorker => "no_worker",
        /// The worker or its agent is about to end.
        Draining => "draining",
        /// The worker's availability zone is taken out.
        Evacuated => "evacuated",
        /// The worker has no room for it.
        NoRoom => "no_room",
        /// Another run of the task is not over here.
        TaskBusy => "task_busy",
        /// The entry's right to run tasks here has lapsed.
        RightLapsed => "right_lapsed",
        /// The worker says that it is unhealthy.
        Unhealthy => "unhealthy",
        /// The worker did not take the order, for another reason.
        Rejected => "rejected",
        /// The order was not answered, and the worker has taken a newer fencing token since.
        OrderLost => "order_lost",
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunOutcome {
    /// The task is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// It was stopped before its end.
    Stopped,
    /// It was lost with its worker or its worker's lease.
    Lost,
    /// It never began.
    NotStarted(NotStartedReason),
}

impl RunOutcome {
    /// The end's name in logs and counters.
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

/// What is free on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CapacityReport {
    /// What is free.
    pub(crate) free: Resources,
    /// Start orders of this session that the figure takes account of.
    pub(crate) starts_seen: u32,
    /// Entries that have a session with the agent and may order there, too.
    pub(crate) entries: u16,
}

/// A frame from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AgentFrame {
    /// Opens the session; nothing that this entry started here earlier runs any more.
    Hello {
        /// The agent's name.
        agent: String,
        /// The agent's clock, in microseconds.
        stamp_us: u64,
    },
    /// The agent lives.
    Beat {
        /// The agent's clock, in microseconds.
        stamp_us: u64,
        /// Revision of the document that the agent holds; zero without one.
        document_revision: u64,
    },
    /// The worker beside the agent, if it can take tasks.
    Worker(Option<WorkerView>),
    /// What is free on it.
    Room(CapacityReport),
    /// A run is over.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunOutcome,
        /// For how long it ran.
        ran_ms: u64,
    },
    /// What operators have set, for an entry that goes by older news.
    News(EvacuatedZones),
    /// Asks the entry for a part of its document.
    FetchDocument(PartRequest),
    /// A part of the agent's document that the entry has asked for.
    DocumentPart(DocumentPart),
}
