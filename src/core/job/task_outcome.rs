//! How a task ended.

use {
    crate::core::verdict::{MayHaveRunReason, NotRunReason},
    serde::{Deserialize, Serialize},
};

/// Outcome of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskOutcome {
    /// It ran successfully.
    Done {
        /// Body of the backend server's response.
        output: String,
    },
    /// It ran, and the backend server reported a failure.
    Failed {
        /// The backend server's error message.
        message: String,
    },
    /// It never started.
    NotRun { reason: NotRunReason },
    /// It may have run; its outcome is unknown.
    MayHaveRun { reason: MayHaveRunReason },
}
