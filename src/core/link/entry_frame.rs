//! Frames from an entry to an agent.

use {
    super::{EvacuatedZones, QueueDemand},
    crate::core::{
        document::{DocumentPart, PartRequest},
        work::{JobId, Resources, RunId},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Message that starts a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartOrder {
    /// The task and the number of this run.
    pub(crate) run: RunId,
    /// Job specification, passed to the worker unchanged.
    pub(crate) spec: Arc<str>,
    /// Resources that the task requires.
    pub(crate) needs: Resources,
    /// Time until the client's deadline, at which the agent stops the run.
    pub(crate) time_left_ms: u64,
    /// Expected run time on a worker of normal speed, including the penalty for data on another rack;
    /// the agent measures the speed of its worker by it.
    pub(crate) estimate_ms: u64,
    /// A worker has crashed under the task.
    pub(crate) is_suspect: bool,
}

/// A frame from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryFrame {
    /// Heartbeat of the entry, which echoes the agent's newest timestamp.
    Beat {
        /// Work that clients submit to the entry, for each of its agents, in thousandths of a task at a
        /// time.
        demand_milli: u32,
        /// The newest timestamp received, in microseconds on the agent's clock.
        echo_us: u64,
        /// Version of the evacuated zones that the entry uses.
        news_version: u64,
        /// Time since the entry read from the store that these are the evacuated zones; `None` if it
        /// has not read them.
        zones_age_ms: Option<u64>,
        /// Store version up to which the entry has read the operators' rows; zero if it has not.
        rows_version: u64,
        /// Revision of the document that the entry holds; zero without one.
        document_revision: u64,
        /// The agent is to hold the document, for entries that cannot reach the store.
        is_holder: bool,
        /// Demands of the competing queues of the agent's service.
        queue_demands: Vec<QueueDemand>,
    },
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop { run: RunId },
    /// Declines reserved capacity: the tasks that waited for it run elsewhere or were cancelled.
    Decline,
    /// Evacuated zones.
    News(EvacuatedZones),
    /// Requests a part of the agent's document.
    FetchDocument(PartRequest),
    /// A part of the entry's document, as requested by the agent.
    DocumentPart(DocumentPart),
    /// A client cancels a job that this entry doesn't have; passed on to the agent's other entries.
    CancelJob { job: JobId },
    /// A job was cancelled at this entry; passed on to the agent's other entries.
    JobCancelled { job: JobId },
}
