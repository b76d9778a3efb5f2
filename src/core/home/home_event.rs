//! What goes into the home and what comes out.

use {
    crate::core::{
        ejection::EjectionReason,
        job::{JobSpec, JobStatus},
        message::{Candidate, HomeFrame, RunnerFrame},
        ticket::{AgentId, Ticket},
    },
    std::net::SocketAddr,
};

/// Names someone in this process who waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterId(pub(crate) u64);

/// Something that the home has to react to.
#[derive(Debug)]
pub(crate) enum HomeEvent {
    /// A submission or resubmission.
    Submit {
        /// Who waits for the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
        /// Whether the client can come back only under this identity.
        by_key: bool,
        /// The job.
        spec: JobSpec,
        /// A task of it fits on no worker of the configuration.
        impossible: bool,
        /// Runners that could take its tasks.
        candidates: Vec<Candidate>,
        /// For how long the reply may be held.
        wait_ms: u64,
    },
    /// A question after a job.
    Poll {
        /// Who waits for the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
        /// Runners that could take its tasks now; empty if the asker doesn't know.
        candidates: Vec<Candidate>,
        /// For how long the reply may be held.
        wait_ms: u64,
    },
    /// The client gives the job up.
    Cancel {
        /// Who waits for the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
    },
    /// A frame came in on a session.
    Frame {
        /// The runner that the session was opened to.
        runner: AgentId,
        /// The session's epoch.
        epoch: u64,
        /// The frame.
        frame: RunnerFrame,
    },
    /// A session could not be opened, ended, or went silent.
    SessionLost {
        /// The runner that the session was opened to.
        runner: AgentId,
        /// The session's epoch.
        epoch: u64,
    },
    /// The process is asked to stop: no new jobs.
    Shutdown,
    /// Time has passed.
    Tick,
}

impl HomeAction {
    /// Whether this hands a task to a runner.
    pub(crate) const fn is_start(&self) -> bool {
        matches!(
            self,
            Self::Send {
                frame: HomeFrame::Start(_),
                ..
            }
        )
    }
}

/// What the home wants done.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HomeAction {
    /// Open a session; its first frame is the hello.
    OpenSession {
        /// The runner.
        runner: AgentId,
        /// Where it listens.
        peer_addr: SocketAddr,
        /// The session's epoch.
        epoch: u64,
    },
    /// Send a frame on the session of this epoch.
    Send {
        /// The runner.
        runner: AgentId,
        /// The session's epoch.
        epoch: u64,
        /// The frame.
        frame: HomeFrame,
    },
    /// Answer someone who waits.
    Reply {
        /// Who waits.
        waiter: WaiterId,
        /// The answer.
        status: JobStatus,
    },
    /// Count a retry of a task by the reason of its refusal.
    CountRetry(&'static str),
    /// Count messages that served no start, by what they were.
    CountWasted {
        /// What they were.
        kind: &'static str,
        /// How many.
        messages: u16,
    },
    /// Count a runner that is left alone from now on.
    CountEjection(EjectionReason),
    /// Count a job's end by its verdict's reason.
    CountOutcome(&'static str),
}
