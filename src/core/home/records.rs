//! What a home hands over to its successor at a planned stop.

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

/// Everything that a home knows, with ages in place of its own clock's instants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeRecords {
    /// The home that its tickets name, also from now on.
    pub(crate) home: AgentId,
    /// Verifies the tickets that it granted.
    pub(crate) secret: GrantSecret,
    /// Number that the next grant would have had.
    pub(crate) next_generation: u32,
    /// Epoch of the newest session to any runner; the successor's are higher and fence it.
    pub(crate) last_epoch: u64,
    /// The generations that are still good, oldest first.
    pub(crate) generations: Vec<GenerationRecord>,
    /// The jobs under used tickets; ended ones in the order of their ends.
    pub(crate) jobs: Vec<MovedJob>,
    /// Runners that hold tasks.
    pub(crate) links: Vec<MovedLink>,
}

/// One generation of tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GenerationRecord {
    /// Its number.
    pub(crate) number: u32,
    /// Time since it was granted.
    pub(crate) age_ms: u64,
    /// Whether no job may begin under it any more.
    pub(crate) closed: bool,
}

/// One job under its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedJob {
    /// The ticket.
    pub(crate) ticket: TicketId,
    /// Digest of the submission.
    pub(crate) digest: [u8; 32],
    /// Where it stands.
    pub(crate) state: MovedState,
}

/// Where a moved job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MovedState {
    /// It goes on at the successor.
    Running(Box<MovedRunning>),
    /// It ended with this answer.
    Ended(Arc<JobAnswer>),
    /// It ended, and its answer is gone.
    Dropped,
    /// Its ticket was cancelled before anything was submitted.
    Cancelled,
}

/// A job that goes on at the successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedRunning {
    /// The submission.
    pub(crate) spec: JobSpec,
    /// Time left until its deadline.
    pub(crate) left_ms: u64,
    /// Runners that could take its tasks.
    pub(crate) candidates: Vec<AgentId>,
    /// Its tasks.
    pub(crate) tasks: Vec<TaskState>,
    /// Starts of each task so far.
    pub(crate) attempts: Vec<u8>,
    /// Why an earlier try of each task may have run.
    pub(crate) earlier: Vec<Option<MayHaveRunReason>>,
}

/// A runner that holds tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MovedLink {
    /// The runner.
    pub(crate) runner: AgentId,
    /// Where it listens.
    pub(crate) peer_addr: SocketAddr,
    /// Its tasks, with the epoch of the session that each was started on.
    pub(crate) outstanding: Vec<(TaskRef, u64)>,
}
