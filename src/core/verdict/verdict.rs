//! The verdict on a request.

use {
    super::{MayHaveRunReason, NotRunReason},
    serde::{Deserialize, Serialize},
};

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// All tasks ran successfully, and the answer is complete.
    Done,
    /// Nothing ran, and nothing will run for this request.
    NotRun {
        reason: NotRunReason,
        /// Delay before a retry, in milliseconds; zero if a retry cannot help.
        retry_after_ms: u64,
    },
    /// Something may have run; only repeatable jobs may be resubmitted under a new identifier.
    MayHaveRun {
        reason: MayHaveRunReason,
        /// Delay before a retry with the same identifier, in milliseconds; zero if it cannot help.
        retry_after_ms: u64,
    },
}

impl Verdict {
    /// A refusal that a retry cannot change.
    pub(crate) const fn refused(reason: NotRunReason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: 0,
        }
    }

    /// An unknown outcome that a retry cannot resolve.
    pub(crate) const fn may_have_run(reason: MayHaveRunReason) -> Self {
        Self::MayHaveRun {
            reason,
            retry_after_ms: 0,
        }
    }

    /// The verdict's name in the `rattanslip-verdict` header and in JSON.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun { .. } => "not-run",
            Self::MayHaveRun { .. } => "may-have-run",
        }
    }

    /// The reason's name; empty for `Done`.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Done => "",
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::MayHaveRun { reason, .. } => reason.as_str(),
        }
    }

    /// Delay before a retry, in milliseconds; zero if a retry cannot help.
    pub(crate) const fn retry_after_ms(self) -> u64 {
        match self {
            Self::Done => 0,
            Self::NotRun { retry_after_ms, .. } | Self::MayHaveRun { retry_after_ms, .. } => {
                retry_after_ms
            }
        }
    }
}
