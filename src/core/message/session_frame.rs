//! Frames of the session between a home and a runner.

use {
    crate::core::{
        job::{TaskOutcome, TaskRef},
        ticket::AgentId,
    },
    serde::{Deserialize, Serialize},
};

/// One task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StartFrame {
    /// The task's name.
    pub(crate) task: TaskRef,
    /// The service to run it on.
    pub(crate) service: String,
    /// The body for the backend server.
    pub(crate) input: String,
    /// Time left until the job's deadline.
    pub(crate) deadline_ms: u64,
    /// Memory that the task needs.
    pub(crate) memory_mb: u32,
    /// Accelerators that the task needs.
    pub(crate) accelerators: u16,
}

/// Slots of a runner as one home may count on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FreeSlots {
    /// Slots without a task that aren't held for another home.
    pub(crate) slots: u16,
    /// Those of them that are held for this home.
    pub(crate) held: u16,
    /// Starts taken in on this session so far: later ones are not yet part of `slots`.
    pub(crate) starts_seen: u32,
}

/// From home to runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HomeFrame {
    /// Opens the session; the runner refuses starts on sessions of a lower epoch.
    Hello {
        /// The home's process.
        home: AgentId,
        /// Number of the session, growing for each (home, runner) pair.
        epoch: u64,
    },
    /// Start this task now or refuse it now.
    Start(StartFrame),
    /// The answer no longer matters: stop the task if the backend server can.
    Cancel {
        /// The task.
        task: TaskRef,
    },
    /// What became of these tasks, started on earlier sessions?
    Query {
        /// Each task with the epoch of the session it was started on.
        tasks: Vec<(TaskRef, u64)>,
    },
    /// Tasks wait for a slot; replaces what this home asked for before.
    Demand {
        /// How many; zero withdraws the demand and gives offered slots back.
        tasks: u16,
        /// For how long the oldest has waited.
        waited_ms: u64,
    },
    /// These outcomes have arrived and need not be kept.
    Ack {
        /// The tasks.
        tasks: Vec<TaskRef>,
    },
}

/// From runner to home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunnerFrame {
    /// Accepts the session.
    Welcome {
        /// The runner's process; another one than expected means that the expected one is gone.
        runner: AgentId,
        /// Slots free now.
        free: FreeSlots,
    },
    /// How a task ended, or that it was refused.
    Outcome {
        /// The task.
        task: TaskRef,
        /// Its end.
        outcome: TaskOutcome,
        /// Slots free now.
        free: FreeSlots,
    },
    /// A slot became free and is held for this home for a moment.
    Offer {
        /// Slots free now, with those held.
        free: FreeSlots,
    },
    /// Answers [`HomeFrame::Query`].
    Statuses {
        /// The tasks asked for.
        tasks: Vec<StatusReport>,
    },
}

/// What a runner knows of one start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StatusReport {
    /// The task.
    pub(crate) task: TaskRef,
    /// Epoch of the session that the start asked after was sent on.
    pub(crate) epoch: u64,
    /// What became of that start.
    pub(crate) status: TaskStatus,
}

/// What a runner knows of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskStatus {
    /// It never started here, and the fenced session can't start it any more.
    NeverStarted,
    /// It runs; its outcome will follow.
    Running,
    /// It ended.
    Ended(TaskOutcome),
    /// Its record may have been dropped.
    Forgotten,
}
