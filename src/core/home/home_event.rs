//! Events and actions of the home state machine.

use {
    crate::core::{
        ejection::EjectionReason,
        job::{JobSpec, JobStatus},
        message::{Candidate, HomeFrame, RunnerFrame},
        ticket::{AgentId, Ticket},
    },
    std::net::SocketAddr,
};

/// Identifies a pending reply within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterId(pub(crate) u64);

/// An input of the home.
#[derive(Debug)]
pub(crate) enum HomeEvent {
    /// A submission or resubmission.
    Submit {
        /// Receives the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
        /// Whether the client can retry only under this identity.
        by_key: bool,
        spec: JobSpec,
        /// A task of the job fits on no worker of the configuration.
        impossible: bool,
        /// Runners that could run its tasks.
        candidates: Vec<Candidate>,
        /// Maximum time to hold the reply.
        wait_ms: u64,
    },
    /// A status request for a job.
    Poll {
        /// Receives the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
        /// Runners that could run its tasks now; empty if the sender doesn't know.
        candidates: Vec<Candidate>,
        /// Maximum time to hold the reply.
        wait_ms: u64,
    },
    /// The client cancels the job.
    Cancel {
        /// Receives the reply.
        waiter: WaiterId,
        /// The job's identity.
        ticket: Ticket,
    },
    /// A frame received on a session.
    Frame {
        /// The runner that the session was opened to.
        runner: AgentId,
        epoch: u64,
        frame: RunnerFrame,
    },
    /// A session could not be opened, was closed or timed out.
    SessionLost {
        /// The runner that the session was opened to.
        runner: AgentId,
        epoch: u64,
    },
    /// The process is shutting down: no new jobs.
    Shutdown,
    /// Periodic timer.
    Tick,
}

impl HomeAction {
    /// Whether this sends a start frame.
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

/// An effect requested by the home.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HomeAction {
    /// Open a session; its first frame is the hello.
    OpenSession {
        runner: AgentId,
        /// Peer address of the runner.
        peer_addr: SocketAddr,
        epoch: u64,
    },
    /// Send a frame on the session of this epoch.
    Send {
        runner: AgentId,
        epoch: u64,
        frame: HomeFrame,
    },
    /// Reply to a waiter.
    Reply { waiter: WaiterId, status: JobStatus },
    /// Count a retry of a task by the reason for it.
    CountRetry(&'static str),
    /// Count messages of demands and offers that led to no start.
    CountWasted {
        /// Label of the metric.
        kind: &'static str,
        /// Number of messages.
        messages: u16,
    },
    /// Count the ejection of a runner.
    CountEjection(EjectionReason),
    /// Count an ended job by its verdict's reason.
    CountOutcome(&'static str),
}
