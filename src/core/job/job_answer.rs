//! The answer to a job.

use {
    super::TaskOutcome,
    crate::core::{ticket::TicketId, verdict::Verdict},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A final answer: whole, or a clear failure with the truth for each task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobAnswer {
    /// The job that this answers.
    pub(crate) ticket: TicketId,
    /// The job's verdict.
    pub(crate) verdict: Verdict,
    /// One outcome for each task, by position.
    pub(crate) outcomes: Vec<TaskOutcome>,
    /// Digest over ticket and outcomes, made by the home.
    pub(crate) digest: [u8; 32],
}

impl JobAnswer {
    /// Seals an answer with its digest.
    pub(crate) fn new(ticket: TicketId, verdict: Verdict, outcomes: Vec<TaskOutcome>) -> Self {
        let digest = digest(&ticket, &outcomes);
        Self {
            ticket,
            verdict,
            outcomes,
            digest,
        }
    }

    /// Whether this is the whole answer to that ticket with that many tasks.
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

/// What a home says about a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobStatus {
    /// The job has ended.
    Ended(Arc<JobAnswer>),
    /// The job goes on.
    Running {
        /// Tasks that have ended so far.
        ended: u16,
        /// Tasks in all.
        total: u16,
    },
    /// The home has no record, and by the ticket's age nothing ran under it.
    Unknown,
    /// The home refuses the submission, or can't say what became of the job.
    Refused(Verdict),
}
