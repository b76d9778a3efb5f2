//! Frames of the session between a home and a runner.

use {
    crate::core::{
        job::{TaskOutcome, TaskRef},
        ticket::AgentId,
    },
    serde::{Deserialize, Serialize},
};

/// Start order for one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartFrame {
    pub(crate) task: TaskRef,
    pub(crate) service: String,
    /// Request body for the backend server.
    pub(crate) input: String,
    /// Time left until the job's deadline.
    pub(crate) deadline_ms: u64,
    pub(crate) memory_mb: u32,
    pub(crate) accelerators: u16,
}

/// A runner's free slots, as seen by one home.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FreeSlots {
    /// Idle slots that are not held for another home.
    pub(crate) slots: u16,
    /// How many of `slots` are held for this home.
    pub(crate) held: u16,
    /// Starts received on this session so far; `slots` does not account for later ones.
    pub(crate) starts_seen: u32,
}

/// A frame from a home to a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HomeFrame {
    /// Opens the session; the runner refuses starts on sessions with a lower epoch.
    Hello {
        home: AgentId,
        /// Session number, increasing for each (home, runner) pair.
        epoch: u64,
    },
    /// Starts a task; the runner starts or refuses it at once and never queues it.
    Start(StartFrame),
    /// Stops a task whose outcome is no longer needed, if the backend server supports it.
    Cancel { task: TaskRef },
    /// Requests the status of tasks that were started on earlier sessions.
    Query {
        /// Each task with the epoch of the session on which it was started.
        tasks: Vec<(TaskRef, u64)>,
    },
    /// Number of tasks that wait for a slot; replaces this home's earlier demand.
    Demand {
        /// Waiting tasks; zero withdraws the demand and releases the slots held for this home.
        tasks: u16,
        /// How long the oldest task has waited.
        waited_ms: u64,
    },
    /// Acknowledges outcomes, so that the runner can drop them.
    Ack { tasks: Vec<TaskRef> },
}

/// A frame from a runner to a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunnerFrame {
    /// Accepts the session.
    Welcome {
        /// The runner's process; differs from the expected one after the runner restarted.
        runner: AgentId,
        free: FreeSlots,
    },
    /// A task ended or was refused.
    Outcome {
        task: TaskRef,
        outcome: TaskOutcome,
        free: FreeSlots,
    },
    /// A slot became free and is briefly held for this home.
    Offer {
        /// Free slots, including the held ones.
        free: FreeSlots,
    },
    /// Reply to [`HomeFrame::Query`].
    Statuses { tasks: Vec<StatusReport> },
}

/// Status of one start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StatusReport {
    pub(crate) task: TaskRef,
    /// Epoch of the session on which the start was sent.
    pub(crate) epoch: u64,
    pub(crate) status: TaskStatus,
}

/// Status of a task on a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskStatus {
    /// It never started here, and its session is fenced, so it cannot start later.
    NeverStarted,
    /// It is running; its outcome will follow.
    Running,
    Ended(TaskOutcome),
    /// Unknown: its record may have been dropped.
    Forgotten,
}
