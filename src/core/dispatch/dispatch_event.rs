//! Events and actions of the dispatcher.

use {
    super::DispatchLogEvent,
    crate::core::{
        document::Document,
        link::{AgentFrame, EntryFrame, EvacuatedZones},
        routes::Route,
        time::Instant,
        verdict::reasons,
        work::{JobId, JobRequest},
    },
    std::sync::Arc,
};

reasons! {
    /// Why a job was refused, or was given up before any of its tasks could have started.
    RefusalReason {
        /// It uses a feature that is not implemented.
        Unsupported => "unsupported",
        /// It has no tasks, too many tasks, or steps that depend on later ones.
        BadJob => "bad_job",
        /// No known worker is large enough for one of its tasks.
        TooLarge => "too_large",
        /// No known worker has a label that one of its steps requires.
        NoMatchingWorker => "no_matching_worker",
        /// Its tasks could not start in time to finish before the client's deadline.
        Overloaded => "overloaded",
        /// The deadline passed before a task was started.
        DeadlinePassed => "deadline_passed",
        /// The entry is shutting down.
        Leaving => "leaving",
        /// This entry has received nothing from any agent for too long.
        Isolated => "isolated",
    }
}

reasons! {
    /// Why a job was given up whose tasks may have run.
    GiveUpReason {
        /// All its clients have disconnected.
        ClientGone => "client_gone",
        /// The deadline passed, or its remaining tasks could not finish before it.
        DeadlinePassed => "deadline_passed",
        /// This entry was isolated, and a copy of the job may run elsewhere.
        Isolated => "isolated",
        /// The runs of one of its tasks were lost repeatedly.
        RunsLost => "runs_lost",
    }
}

/// Identifies a client's pending call in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterId(pub(crate) u64);

/// Identifies a session of this process with an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// A submitted job.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The call that waits for the outcome.
    pub(crate) waiter: WaiterId,
    pub(crate) id: JobId,
    pub(crate) request: JobRequest,
    pub(crate) route: Arc<Route>,
    /// Time until the client stops waiting.
    pub(crate) time_left_ms: u64,
}

/// The final outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed in all its attempts.
    Failed,
    /// Workers crashed while they ran one of its tasks.
    FailedByCrashes,
    /// A client cancelled it; some of its tasks may have run.
    Cancelled,
    /// None of its tasks has run, and none will due to this call.
    NotRun {
        reason: RefusalReason,
        /// When to retry; zero if a retry can't succeed.
        retry_after_ms: u64,
    },
    /// It was given up; some of its tasks may have run.
    GivenUp(GiveUpReason),
}

/// An input of the dispatcher.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    /// A client submitted a job.
    Submit(Submission),
    /// A client cancels a job.
    Cancel {
        /// The call that waits for the reply.
        waiter: WaiterId,
        id: JobId,
    },
    /// A client has disconnected.
    ClientGone { waiter: WaiterId },
    /// A frame arrived on a session; the first one is the agent's hello.
    Frame { link: LinkId, frame: AgentFrame },
    /// A session has ended.
    LinkLost { link: LinkId },
    /// The evacuated zones at a newer store version.
    EvacuatedZones(EvacuatedZones),
    /// The store was read and has no evacuated zones but those already passed on.
    ZonesRead {
        /// The zones were as known at this time or later.
        at: Instant,
        /// Store version up to which all operators' rows were read.
        rows_version: u64,
    },
    /// A newer document, which agents are to hold.
    Document(Document),
    /// The process is shutting down.
    Shutdown,
    /// Periodic timer.
    Tick,
}

/// An output of the dispatcher.
#[derive(Debug, PartialEq)]
pub(crate) enum DispatchAction {
    Send {
        link: LinkId,
        frame: EntryFrame,
    },
    /// Close a session.
    Close {
        link: LinkId,
    },
    /// Reply to a client.
    Reply {
        waiter: WaiterId,
        outcome: JobOutcome,
    },
    /// Reply to a client that cancels a job.
    ReplyToCancellation {
        waiter: WaiterId,
        /// Whether the job was cancelled; otherwise no entry is known to have it.
        is_cancelled: bool,
    },
    /// An agent sent zones that may be newer than this entry's.
    ApplyEvacuatedZones(EvacuatedZones),
    /// A newer document was fetched from an agent.
    ApplyDocument(Document),
    /// The level of a competing queue has changed.
    SetQueueLevel {
        queue: Arc<str>,
        /// Share of the demanded work that fits, in thousandths.
        level_permille: u16,
    },
    /// Write a log event.
    Log(DispatchLogEvent),
}
