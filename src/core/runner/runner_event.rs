//! What goes into the runner and what comes out.

use crate::core::{
    job::{TaskOutcome, TaskRef},
    message::{HomeFrame, RunnerFrame, StartFrame},
    time::Instant,
};

/// Names one open session in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(pub(crate) u64);

/// Something that the runner has to react to.
#[derive(Debug)]
pub(crate) enum RunnerEvent {
    /// A frame came in on a session.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: HomeFrame,
    },
    /// A session's connection is gone.
    SessionClosed {
        /// The session.
        session: SessionId,
    },
    /// The backend server is through with a task.
    Finished {
        /// The task.
        task: TaskRef,
        /// Its end.
        outcome: TaskOutcome,
    },
    /// The backend server announced itself.
    BackendUp {
        /// Services that it runs.
        services: Vec<String>,
        /// Tasks that it runs at a time.
        slots: u16,
    },
    /// The backend server is silent, or said that it leaves.
    BackendUnavailable,
    /// The process is asked to stop: no new work.
    Shutdown,
    /// An entry answered an announcement.
    PermitRenewed {
        /// When the announcement was sent.
        sent_at: Instant,
        /// Version of the configuration that the entry holds.
        config_version: u64,
        /// Whether this worker's availability zone is open.
        zone_open: bool,
        /// For how long tasks may start.
        permit_ms: u64,
    },
    /// Time has passed.
    Tick,
}

/// What the runner wants done.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RunnerAction {
    /// Send a frame on a session.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: RunnerFrame,
    },
    /// Hand a task to the backend server.
    Run(StartFrame),
    /// Tell the backend server to stop a task.
    Stop(TaskRef),
    /// Close a session that a newer one has replaced.
    Close(SessionId),
    /// Count a refusal by its reason.
    CountRefusal(crate::core::verdict::NotRunReason),
}
