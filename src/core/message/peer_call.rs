//! Calls with one request and one reply.

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

/// A runner that could take tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Candidate {
    /// The runner's process.
    pub(crate) runner: AgentId,
    /// Where it listens for peers.
    pub(crate) peer_addr: SocketAddr,
    /// Slots of its backend server.
    pub(crate) slots: u16,
    /// Slots free when it last announced.
    pub(crate) free_slots: u16,
    /// The home looks to it first: its other homes look elsewhere first.
    pub(crate) own: bool,
}

/// A job handed to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Submission {
    /// The job's identity.
    pub(crate) ticket: Ticket,
    /// Whether the client knows the job by a key of its own and can't come back with another.
    pub(crate) by_key: bool,
    /// The job.
    pub(crate) spec: JobSpec,
    /// A task of it fits on no worker of the configuration.
    pub(crate) impossible: bool,
    /// Runners that could take its tasks, best first.
    pub(crate) candidates: Vec<Candidate>,
    /// For how long to hold the reply while the job runs.
    pub(crate) wait_ms: u64,
}

/// A request to a peer process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Agent to entry, every second.
    Announce(Announcement),
    /// Entry to entry, twice a second and when something changed.
    Digest(Digest),
    /// Entry to entry: the configuration that you hold, please.
    Configuration,
    /// Entry to agent: whether tasks may start has changed.
    Gate(GateNotice),
    /// Entry to home: start this job, or attach to it.
    Submit(Box<Submission>),
    /// Entry to home: what became of this ticket?
    Poll {
        /// The job's identity.
        ticket: Ticket,
        /// Runners that could take its tasks now.
        candidates: Vec<Candidate>,
        /// For how long to hold the reply while the job runs.
        wait_ms: u64,
    },
    /// Leaving home to its successor: go on with this. Idempotent under the home's identity.
    Adopt(Box<HomeRecords>),
    /// Entry to home: start nothing more of this job.
    Cancel {
        /// The job's identity.
        ticket: Ticket,
    },
}

/// A peer's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// To [`PeerRequest::Announce`].
    Announced(AnnouncementReply),
    /// To [`PeerRequest::Submit`], [`PeerRequest::Poll`] and [`PeerRequest::Cancel`].
    Job(JobStatus),
    /// To [`PeerRequest::Digest`].
    Digest(DigestReply),
    /// To [`PeerRequest::Configuration`]: the head row and the document's text.
    Configuration(Option<(Head, String)>),
    /// To [`PeerRequest::Gate`].
    Noted,
    /// To [`PeerRequest::Adopt`]: the successor answers for the home's tickets from now on.
    Adopted,
    /// The receiver has no part that takes this request.
    Unsupported,
}
