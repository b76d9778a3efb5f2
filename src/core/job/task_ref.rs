//! System-wide identifier of a task.

use {
    crate::core::ticket::TicketId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a task by its job's ticket and its position in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskRef {
    pub(crate) ticket: TicketId,
    /// Zero-based position in the job.
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
