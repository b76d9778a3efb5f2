//! The records that a home hands over to its successor at a planned stop.

use {
    super::job_record::TaskState,
    crate::core::{
        job::{JobAnswer, JobSpec, TaskRef},
        ticket::{AgentId, GrantSecret, TicketId},
        verdict::MayHaveRunReason,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// The complete state of a home, with ages instead of instants of its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeRecords {
    /// The home that the tickets name; the successor uses this identity.
    pub(crate) home: AgentId,
    /// Verifies the granted tickets.
    pub(crate) secret: GrantSecret,
    /// Number of the next grant.
    pub(crate) next_generation: u32,
    /// Epoch of the newest session to any runner; the successor fences it with higher epochs.
    pub(crate) last_epoch: u64,
    /// The valid generations, oldest first.
    pub(crate) generations: Vec<GenerationRecord>,
    /// The jobs under used tickets; ended ones in the order in which they ended.
    pub(crate) jobs: Vec<MovedJob>,
    /// Runners that hold tasks.
    pub(crate) links: Vec<MovedLink>,
}

/// One generation of tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GenerationRecord {
    pub(crate) number: u32,
    /// Time since it was granted.
    pub(crate) age_ms: u64,
    /// Whether no job may start under it any more.
    pub(crate) closed: bool,
}

/// One job under its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedJob {
    pub(crate) ticket: TicketId,
    /// Digest of the submission.
    pub(crate) digest: [u8; 32],
    pub(crate) state: MovedState,
}

/// State of a moved job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MovedState {
    /// It continues at the successor.
    Running(Box<MovedRunning>),
    /// It ended with this answer.
    Ended(Arc<JobAnswer>),
    /// It ended, and its answer was evicted or not handed over.
    Dropped,
    /// Its ticket was cancelled before a submission arrived.
    Cancelled,
}

/// A job that continues at the successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedRunning {
    /// The submission.
    pub(crate) spec: JobSpec,
    /// Time left until its deadline.
    pub(crate) left_ms: u64,
    /// Runners that could run its tasks.
    pub(crate) candidates: Vec<AgentId>,
    pub(crate) tasks: Vec<TaskState>,
    /// Number of attempts per task.
    pub(crate) attempts: Vec<u8>,
    /// Why an earlier attempt of each task may have run.
    pub(crate) earlier: Vec<Option<MayHaveRunReason>>,
}

/// A runner that holds tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedLink {
    pub(crate) runner: AgentId,
    /// Its peer address.
    pub(crate) peer_addr: SocketAddr,
    /// Its tasks, each with the epoch of the session on which it was started.
    pub(crate) outstanding: Vec<(TaskRef, u64)>,
}
