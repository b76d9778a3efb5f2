//! Input events and output actions of the runner.

use crate::core::{
    job::{TaskOutcome, TaskRef},
    message::{HomeFrame, RunnerFrame, StartFrame},
    time::Instant,
};

/// Identifies an open session within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(pub(crate) u64);

/// An input of the runner.
#[derive(Debug)]
pub(crate) enum RunnerEvent {
    /// A frame was received on a session.
    Frame {
        session: SessionId,
        frame: HomeFrame,
    },
    /// A session's connection was closed.
    SessionClosed { session: SessionId },
    /// The backend server finished a task.
    Finished { task: TaskRef, outcome: TaskOutcome },
    /// The backend server announced itself.
    BackendUp {
        /// Services that it provides.
        services: Vec<String>,
        /// Number of tasks that it runs concurrently.
        slots: u16,
    },
    /// The backend server timed out or announced that it is leaving.
    BackendUnavailable,
    /// The process is shutting down; new work is refused.
    Shutdown,
    /// An entry replied to an announcement.
    PermitRenewed {
        /// When the announcement was sent.
        sent_at: Instant,
        /// Version of the entry's configuration.
        config_version: u64,
        /// Whether this worker's availability zone is open.
        zone_open: bool,
        /// How long tasks may start, counted from `sent_at`.
        permit_ms: u64,
    },
    /// Periodic timer.
    Tick,
}

/// An action for the caller to execute.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RunnerAction {
    /// Send a frame on a session.
    Send {
        session: SessionId,
        frame: RunnerFrame,
    },
    /// Run a task on the backend server.
    Run(StartFrame),
    /// Stop a task on the backend server.
    Stop(TaskRef),
    /// Close a session that is unknown here or superseded by a newer one.
    Close(SessionId),
    /// Count a refusal by its reason.
    CountRefusal(crate::core::verdict::NotRunReason),
}
