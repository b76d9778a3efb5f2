//! Frames from an entry to an agent.

use {
    super::EvacuatedZones,
    crate::core::{
        document::{DocumentPart, PartRequest},
        work::{Resources, RunId},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartOrder {
    /// The task and the number of this try.
    pub(crate) run: RunId,
    /// The job's text for the worker.
    pub(crate) spec: Arc<str>,
    /// What the task takes up.
    pub(crate) needs: Resources,
    /// Time until nobody waits for the job any more; the agent stops the run then.
    pub(crate) time_left_ms: u64,
}

/// A frame from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryFrame {
    /// The entry lives and has received the agent's time stamps up to this one.
    Beat {
        /// The newest stamp received, in microseconds on the agent's clock.
        echo_us: u64,
        /// Version of the news that the entry goes by.
        news_version: u64,
        /// Revision of the document that the entry holds; zero without one.
        document_revision: u64,
        /// The agent is to hold the document, for entries that do not reach the store.
        is_holder: bool,
    },
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop {
        /// The run.
        run: RunId,
    },
    /// The room that was offered is not needed: the tasks that waited for it run elsewhere or were given up.
    Decline,
    /// What operators have set.
    News(EvacuatedZones),
    /// Asks the agent for a part of its document.
    FetchDocument(PartRequest),
    /// A part of the entry's document that the agent has asked for.
    DocumentPart(DocumentPart),
}
