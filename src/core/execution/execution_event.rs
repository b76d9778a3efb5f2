//! Events and actions of the executor, and its calls to the worker.

use {
    super::ExecutionLogEvent,
    crate::core::{
        document::Document,
        link::{AgentFrame, EntryFrame, EvacuatedZones, RunOutcome},
        work::{TaskName, WorkerIncarnation, WorkerView},
    },
    std::sync::Arc,
};

/// Identifies a session with an entry, unique in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionId(pub(crate) u64);

/// Call that starts a task on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StartCall {
    /// Name of the worker that the call is addressed to.
    pub(crate) worker: String,
    pub(crate) task: TaskName,
    /// Run number at the worker.
    pub(crate) number: u32,
    /// Job specification, passed to the worker unchanged.
    pub(crate) spec: Arc<str>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub(crate) lease_until_ms: u64,
    pub(crate) token: u64,
}

/// Call that stops a run on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StopCall {
    /// Name of the worker that the call is addressed to.
    pub(crate) worker: String,
    pub(crate) task: TaskName,
    /// Run number at the worker.
    pub(crate) number: u32,
    pub(crate) token: u64,
}

/// Call that requests the worker's run list and may renew its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HoldCall {
    /// Sequence number of the call, ascending.
    pub(crate) sequence: u64,
    /// Name of the worker that the call is addressed to.
    pub(crate) worker: String,
    pub(crate) token: u64,
    /// Sequence number of the newest [`ListedEnd`] that was applied.
    pub(crate) last_seen_end: u64,
    /// New end of the lease on the worker's clock, in milliseconds; `None` leaves it unchanged.
    pub(crate) lease_until_ms: Option<u64>,
    /// Maximum time that the worker may wait for a run to finish before it responds, in
    /// milliseconds; zero for an immediate response.
    pub(crate) wait_ms: u64,
}

/// The worker's response to a start call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartResponse {
    /// The run was started, now or by an earlier call.
    Accepted,
    /// The worker has seen a higher fencing token; nothing was started.
    Fenced,
    /// A run of the task with this or a higher number has finished; nothing was started.
    NumberUsed,
    /// The lease had expired when the call arrived; nothing was started.
    Late,
    /// No free capacity; nothing was started.
    NoRoom,
    /// The worker is unhealthy; nothing was started.
    Unhealthy,
    /// Rejected for another reason; nothing was started.
    Rejected,
    /// The host refused the connection: nothing was sent.
    Refused,
    /// No response: the worker may have started the run or may still start it.
    Unanswered,
}

/// A running task in the worker's run list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedRun {
    pub(crate) task: TaskName,
    pub(crate) number: u32,
}

/// A finished run in the worker's run list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedEnd {
    /// Sequence number, ascending within one incarnation of the worker.
    pub(crate) sequence: u64,
    pub(crate) task: TaskName,
    pub(crate) number: u32,
    pub(crate) end: RunOutcome,
}

/// The worker's response to a hold call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HoldResponse {
    /// Running tasks and finished runs.
    RunList {
        /// Start time of the worker's incarnation, if the worker sends it.
        born_unix_ms: Option<u64>,
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        running: Vec<ListedRun>,
        ended: Vec<ListedEnd>,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The call reached a worker of another name.
    OtherWorker,
    /// The host refused the connection: no worker process is listening.
    Refused,
    /// No response.
    Unanswered,
}

/// A worker that has announced that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeavingWorker {
    /// Name of the worker.
    pub(crate) id: String,
    /// Start time of its incarnation, if the worker sends it.
    pub(crate) born_unix_ms: Option<u64>,
}

impl LeavingWorker {
    /// Whether the announcement is one of this incarnation.
    pub(crate) fn is_incarnation(&self, incarnation: &WorkerIncarnation) -> bool {
        self.id == incarnation.id
            && self
                .born_unix_ms
                .is_none_or(|born| born == incarnation.born_unix_ms)
    }
}

/// Input of the executor.
#[derive(Debug)]
pub(crate) enum ExecutionEvent {
    /// A session with an entry was opened; the agent's hello has not been sent yet.
    SessionOpened {
        session: SessionId,
        /// The entry's address, for logs.
        entry: String,
    },
    /// A session was disconnected.
    SessionLost { session: SessionId },
    /// The agent no longer needs a session; it is closed once its runs have finished.
    RetireSession { session: SessionId },
    /// A frame was received on a session.
    Frame {
        session: SessionId,
        frame: EntryFrame,
    },
    /// The worker reported its state.
    Heartbeat {
        view: WorkerView,
        /// Sequence number of the report, ascending within one incarnation.
        sequence: u64,
    },
    /// A worker view persisted by an earlier process of this agent was loaded.
    WorkerRestored { view: WorkerView },
    /// The worker announced that it leaves; its runs go on until they are stopped or its process ends.
    WorkerLeaving(LeavingWorker),
    /// The worker responded to a start call, or the call failed.
    StartAnswered {
        call: StartCall,
        response: StartResponse,
    },
    /// The worker responded to a stop call, or the call failed.
    StopAnswered {
        call: StopCall,
        /// The worker accepted the stop.
        confirmed: bool,
    },
    /// The worker responded to a hold call, or the call failed.
    HoldAnswered {
        call: HoldCall,
        response: HoldResponse,
    },
    /// The evacuated zones were read from the store; `None` if the read failed.
    ZonesRead { zones: Option<EvacuatedZones> },
    /// A changed document was read from the store.
    DocumentRead(Document),
    /// The process is shutting down.
    Shutdown,
    /// Sent periodically.
    Tick,
}

/// Output of the executor.
#[derive(Debug, PartialEq)]
pub(crate) enum ExecutionAction {
    /// Send a frame to an entry.
    Send {
        session: SessionId,
        frame: AgentFrame,
    },
    /// Close a session.
    Close { session: SessionId },
    /// All runs of a disconnected session have finished: the agent may connect to its entry again.
    SessionDrained { session: SessionId },
    /// No run of an earlier process of this agent is left on the worker: the agent may connect to
    /// entries.
    StaleRunsStopped,
    /// Read the evacuated zones from the store.
    ReadZones {
        /// Store version after which changes of the operators' document are to be read as well; `None`
        /// for no read of it.
        document_after: Option<u64>,
    },
    /// Persist the worker view for a later process of this agent.
    PersistWorker(WorkerView),
    /// Send a start call to the worker.
    Start(StartCall),
    /// Send a stop call to the worker.
    Stop(StopCall),
    /// Send a hold call to the worker.
    Hold(HoldCall),
    /// Log an event.
    Log(ExecutionLogEvent),
}
