//! Request-reply calls between peer processes.

use {
    super::{Announcement, AnnouncementReply, Digest, DigestReply, GateNotice},
    crate::core::{
        config::Head,
        home::HomeRecords,
        job::{JobSpec, JobStatus},
        ticket::{AgentId, Ticket},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A runner that could run tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Candidate {
    /// The runner's process.
    pub(crate) runner: AgentId,
    /// Address on which the runner accepts peer connections.
    pub(crate) peer_addr: SocketAddr,
    /// Total slots of its backend server.
    pub(crate) slots: u16,
    /// Free slots in its latest announcement.
    pub(crate) free_slots: u16,
    /// This home tries the runner first; other homes try other runners first.
    pub(crate) own: bool,
}

/// A job submitted to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Submission {
    /// The job's identity.
    pub(crate) ticket: Ticket,
    /// Whether the client identifies the job by its own key and so cannot retry under another one.
    pub(crate) by_key: bool,
    pub(crate) spec: JobSpec,
    /// Whether a task of the job fits on no worker of the configuration.
    pub(crate) impossible: bool,
    /// Runners that could run its tasks, best first.
    pub(crate) candidates: Vec<Candidate>,
    /// How long to wait for the job to end before replying.
    pub(crate) wait_ms: u64,
}

/// A request to a peer process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Agent to entry, every second.
    Announce(Announcement),
    /// Entry to entry, twice a second and when something changed.
    Digest(Digest),
    /// Entry to entry: requests the receiver's configuration.
    Configuration,
    /// Entry to agent: the zone was opened or closed.
    Gate(GateNotice),
    /// Entry to home: starts a job, or attaches to it if it exists.
    Submit(Box<Submission>),
    /// Entry to home: requests the status of a ticket's job.
    Poll {
        /// The job's identity.
        ticket: Ticket,
        /// Runners that could run its tasks now.
        candidates: Vec<Candidate>,
        /// How long to wait for the job to end before replying.
        wait_ms: u64,
    },
    /// Leaving home to its successor: adopt these records. Idempotent per home.
    Adopt(Box<HomeRecords>),
    /// Entry to home: starts no more tasks of a job.
    Cancel {
        /// The job's identity.
        ticket: Ticket,
    },
}

/// A peer's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// Reply to [`PeerRequest::Announce`].
    Announced(AnnouncementReply),
    /// Reply to [`PeerRequest::Submit`], [`PeerRequest::Poll`] and [`PeerRequest::Cancel`].
    Job(JobStatus),
    /// Reply to [`PeerRequest::Digest`].
    Digest(DigestReply),
    /// Reply to [`PeerRequest::Configuration`]: the head row and the document's text, if known.
    Configuration(Option<(Head, String)>),
    /// Reply to [`PeerRequest::Gate`].
    Noted,
    /// Reply to [`PeerRequest::Adopt`]: the successor serves the home's tickets from now on.
    Adopted,
    /// The receiver does not handle this kind of request.
    Unsupported,
}
