//! What goes into the executor and what comes out.

use {
    super::ExecutionLogEvent,
    crate::core::{
        link::{AgentFrame, EntryFrame, RunOutcome},
        work::{TaskId, WorkerView},
    },
    std::sync::Arc,
};

/// Names one session of this process with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(pub(crate) u64);

/// A call that tells the worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StartCall {
    /// Name of the worker that it is meant for.
    pub(crate) worker: String,
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the run, as the worker counts.
    pub(crate) number: u32,
    /// The job's text for the worker.
    pub(crate) spec: Arc<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub(crate) lease_until_ms: u64,
    /// Fencing token.
    pub(crate) token: u64,
}

/// A call that tells the worker to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StopCall {
    /// Name of the worker that it is meant for.
    pub(crate) worker: String,
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the run, as the worker counts.
    pub(crate) number: u32,
    /// Fencing token.
    pub(crate) token: u64,
}

/// A call that asks the worker what runs and what has ended, and may renew its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HoldCall {
    /// Number of this call; later calls have higher ones.
    pub(crate) sequence: u64,
    /// Name of the worker that it is meant for.
    pub(crate) worker: String,
    /// Fencing token.
    pub(crate) token: u64,
    /// Number of the newest end that was taken in.
    pub(crate) last_seen_end: u64,
    /// New end of the lease on the worker's clock, in milliseconds; none to leave it.
    pub(crate) lease_until_ms: Option<u64>,
    /// Longest time that the worker may wait for an end before it answers; zero to answer at once.
    pub(crate) wait_ms: u64,
}

/// What the worker answered to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartResponse {
    /// The run is there.
    Accepted,
    /// A higher fencing token was seen; nothing was done.
    Fenced,
    /// A run with this or a higher number ended there; nothing was done.
    NumberUsed,
    /// The order's lease was over on arrival; nothing was done.
    Late,
    /// No room; nothing was done.
    NoRoom,
    /// The worker is unhealthy; nothing was done.
    Unhealthy,
    /// Rejected for another reason; nothing was done.
    Rejected,
    /// No answer: the order may have been carried out, or may be later.
    Unanswered,
}

/// A run that the worker lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedRun {
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the run.
    pub(crate) number: u32,
}

/// An end that the worker lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedEnd {
    /// Number of the end, rising in one life of the worker.
    pub(crate) sequence: u64,
    /// The task.
    pub(crate) task: TaskId,
    /// Number of the run.
    pub(crate) number: u32,
    /// How it ended.
    pub(crate) end: RunOutcome,
}

/// What the worker answered to a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HoldResponse {
    /// Its lists.
    RunList {
        /// When this life of the worker began, if it says so.
        born_unix_ms: Option<u64>,
        /// Its clock, in milliseconds.
        clock_ms: u64,
        /// What runs.
        running: Vec<ListedRun>,
        /// What has ended.
        ended: Vec<ListedEnd>,
    },
    /// A higher fencing token was seen.
    Fenced,
    /// It is not the worker that was meant.
    OtherWorker,
    /// No answer.
    Unanswered,
}

/// Something that the executor has to react to.
#[derive(Debug)]
pub(crate) enum ExecutionEvent {
    /// A session with an entry is open; its hello is still to be sent.
    SessionOpened {
        /// The session.
        session: SessionId,
        /// The entry's address, for logs.
        entry: String,
    },
    /// A session is lost.
    SessionLost {
        /// The session.
        session: SessionId,
    },
    /// A frame came in.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: EntryFrame,
    },
    /// The worker told of itself.
    Heartbeat {
        /// What it said.
        view: WorkerView,
        /// Number of the report, rising in one life.
        sequence: u64,
    },
    /// An earlier process of this agent has left word of the worker.
    WorkerRestored {
        /// What the worker said of itself then.
        view: WorkerView,
    },
    /// The worker said that it ends.
    WorkerLeft {
        /// Its name.
        worker: String,
    },
    /// A start was answered or given up.
    StartAnswered {
        /// The call.
        call: StartCall,
        /// The answer.
        response: StartResponse,
    },
    /// A stop was answered, or given up if not `confirmed`.
    StopAnswered {
        /// The call.
        call: StopCall,
        /// The worker has taken it.
        confirmed: bool,
    },
    /// A hold was answered or given up.
    HoldAnswered {
        /// The call.
        call: HoldCall,
        /// The answer.
        response: HoldResponse,
    },
    /// The process is to end.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// What the executor wants done.
#[derive(Debug, PartialEq)]
pub(crate) enum ExecutionAction {
    /// Send a frame.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: AgentFrame,
    },
    /// Give a session up.
    Close {
        /// The session.
        session: SessionId,
    },
    /// Nothing that was started on a lost session is left: its entry may be dialled again.
    SessionDrained {
        /// The session.
        session: SessionId,
    },
    /// Nothing runs at the worker that an earlier process of this agent started: entries may be dialled.
    StaleRunsStopped,
    /// Keep what the worker says of itself for a later process of this agent.
    PersistWorker(WorkerView),
    /// Call the worker.
    Start(StartCall),
    /// Call the worker.
    Stop(StopCall),
    /// Call the worker.
    Hold(HoldCall),
    /// Write a line of the log.
    Log(ExecutionLogEvent),
}
