//! The name of one task in the whole system.

use {
    crate::core::ticket::TicketId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A task: its job's ticket and its position in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskRef {
    /// The job's ticket.
    pub(crate) ticket: TicketId,
    /// Position in the job, from zero.
    pub(crate) index: u16,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{}-{}-{}",
            self.ticket.home.0, self.ticket.generation, self.ticket.counter, self.index
        )
    }
}
