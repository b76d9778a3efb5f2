//! The final answer to a job.

use {
    super::TaskOutcome,
    crate::core::{ticket::TicketId, verdict::Verdict},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A job's final answer, with the outcome of each task whether or not the job succeeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobAnswer {
    /// The job's ticket.
    pub(crate) ticket: TicketId,
    pub(crate) verdict: Verdict,
    /// One outcome per task, by position.
    pub(crate) outcomes: Vec<TaskOutcome>,
    /// Digest over ticket and outcomes, computed by the home.
    pub(crate) digest: [u8; 32],
}

impl JobAnswer {
    /// Creates an answer and computes its digest.
    pub(crate) fn new(ticket: TicketId, verdict: Verdict, outcomes: Vec<TaskOutcome>) -> Self {
        let digest = digest(&ticket, &outcomes);
        Self {
            ticket,
            verdict,
            outcomes,
            digest,
        }
    }

    /// Whether this is the complete answer to this ticket with `task_count` tasks.
    pub(crate) fn is_complete(&self, ticket: &TicketId, task_count: usize) -> bool {
        self.ticket == *ticket
            && self.outcomes.len() == task_count
            && self.digest == digest(ticket, &self.outcomes)
    }
}

fn digest(ticket: &TicketId, outcomes: &[TaskOutcome]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&ticket.home.0.to_le_bytes());
    hasher.update(&ticket.generation.to_le_bytes());
    hasher.update(&ticket.counter.to_le_bytes());
    hasher.update(&(outcomes.len() as u64).to_le_bytes());
    for outcome in outcomes {
        let (kind, text) = match outcome {
            TaskOutcome::Done { output } => (0, output.as_str()),
            TaskOutcome::Failed { message } => (1, message.as_str()),
            TaskOutcome::NotRun { reason } => (2, reason.as_str()),
            TaskOutcome::MayHaveRun { reason } => (3, reason.as_str()),
        };
        hasher.update(&[kind]);
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// Status of a ticket's job at its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobStatus {
    /// The job has ended.
    Ended(Arc<JobAnswer>),
    /// The job is running.
    Running {
        /// Tasks that have ended so far.
        ended: u16,
        /// Total number of tasks.
        total: u16,
    },
    /// The home has no record, and the ticket's age proves that nothing ran under it.
    Unknown,
    /// The home refuses the submission, or does not know the job's outcome.
    Refused(Verdict),
}
