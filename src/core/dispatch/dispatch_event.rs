//! What goes into the dispatcher and what comes out.

use {
    super::DispatchLogEvent,
    crate::core::{
        document::Document,
        link::{AgentFrame, EntryFrame, EvacuatedZones},
        routes::Route,
        verdict::reasons,
        work::{JobId, JobRequest},
    },
    std::sync::Arc,
};

reasons! {
    /// Why a job was not taken or was given up before any of its tasks could have started.
    RefusalReason {
        /// It asks for something that is not built.
        Unsupported => "unsupported",
        /// It has no tasks, too many, or steps that refer to later ones.
        BadJob => "bad_job",
        /// No worker that is known could ever hold one of its tasks.
        TooLarge => "too_large",
        /// Its tasks could not start in time to be done by the client's deadline.
        Overloaded => "overloaded",
        /// The deadline passed before a task was started.
        DeadlinePassed => "deadline_passed",
        /// The entry is about to end.
        Leaving => "leaving",
        /// This entry had no word from any agent for too long.
        Isolated => "isolated",
    }
}

reasons! {
    /// Why a job was given up whose tasks may have run.
    GiveUpReason {
        /// All its clients have gone.
        ClientGone => "client_gone",
        /// The deadline passed.
        DeadlinePassed => "deadline_passed",
        /// The rest of it could not be done while its answer was of use.
        Overloaded => "overloaded",
        /// This entry was cut off, and a copy of the job may run elsewhere.
        Isolated => "isolated",
    }
}

/// Names a client's call that waits in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterId(pub(crate) u64);

/// Names one session of this process with an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// A job that was handed in.
#[derive(Debug)]
pub(crate) struct Submission {
    /// Who waits for the answer.
    pub(crate) waiter: WaiterId,
    /// The job's identity.
    pub(crate) id: JobId,
    /// The job.
    pub(crate) request: JobRequest,
    /// Its queue.
    pub(crate) route: Arc<Route>,
    /// Time until the client stops waiting.
    pub(crate) time_left_ms: u64,
}

/// The final answer to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Nothing of it ran, and nothing will on account of this call.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back; zero if that can't help.
        retry_after_ms: u64,
    },
    /// It was given up; tasks of it may have run.
    GivenUp(GiveUpReason),
}

/// Something that the dispatcher has to react to.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    /// A job was handed in.
    Submit(Submission),
    /// A client's connection is gone.
    ClientGone {
        /// Who waited.
        waiter: WaiterId,
    },
    /// A frame came in on a session; the first one is the agent's hello.
    Frame {
        /// The session.
        link: LinkId,
        /// The frame.
        frame: AgentFrame,
    },
    /// A session is lost.
    LinkLost {
        /// The session.
        link: LinkId,
    },
    /// Newer news, and the zones that it takes out.
    EvacuatedZones(EvacuatedZones),
    /// A newer document, to be given to agents.
    Document(Document),
    /// The process is to end.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// What the dispatcher wants done.
#[derive(Debug, PartialEq)]
pub(crate) enum DispatchAction {
    /// Send a frame.
    Send {
        /// The session.
        link: LinkId,
        /// The frame.
        frame: EntryFrame,
    },
    /// Give a session up.
    Close {
        /// The session.
        link: LinkId,
    },
    /// Answer a client.
    Reply {
        /// Who waits.
        waiter: WaiterId,
        /// The answer.
        outcome: JobOutcome,
    },
    /// An agent knows newer news than this entry.
    ApplyEvacuatedZones(EvacuatedZones),
    /// A newer document was fetched from an agent.
    ApplyDocument(Document),
    /// Write a line of the log.
    Log(DispatchLogEvent),
}
