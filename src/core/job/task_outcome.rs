//! How one task ended.

use {
    crate::core::verdict::{MayHaveRunReason, NotRunReason},
    serde::{Deserialize, Serialize},
};

/// The truth about one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskOutcome {
    /// It ran, and this is its output.
    Done {
        /// The body of the backend server's reply.
        output: String,
    },
    /// It ran, and the backend server reported a failure.
    Failed {
        /// The backend server's message.
        message: String,
    },
    /// It never started.
    NotRun {
        /// Why it never started.
        reason: NotRunReason,
    },
    /// Nobody can say.
    MayHaveRun {
        /// Why nobody can say.
        reason: MayHaveRunReason,
    },
}
