//! The verdict that every layer returns.

use {
    super::{MayHaveRunReason, NotRunReason},
    serde::{Deserialize, Serialize},
};

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// Every task ran to its end, and the answer is whole.
    Done,
    /// Nothing ran, and nothing will run on account of this request.
    NotRun {
        /// Why nothing ran.
        reason: NotRunReason,
        /// When to come back, in milliseconds; zero when coming back can't help.
        retry_after_ms: u64,
    },
    /// Something may have run; only what is repeatable may be sent anew under a fresh identity.
    MayHaveRun {
        /// Why nobody can say.
        reason: MayHaveRunReason,
        /// When to ask again with the same identity, in milliseconds; zero when asking can't help.
        retry_after_ms: u64,
    },
}

impl Verdict {
    /// A refusal that coming back can't change.
    pub(crate) const fn refused(reason: NotRunReason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: 0,
        }
    }

    /// An outcome that asking again can't change.
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

    /// The reason's name, empty when done.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Done => "",
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::MayHaveRun { reason, .. } => reason.as_str(),
        }
    }

    /// When to come back, in milliseconds; zero when that can't help.
    pub(crate) const fn retry_after_ms(self) -> u64 {
        match self {
            Self::Done => 0,
            Self::NotRun { retry_after_ms, .. } | Self::MayHaveRun { retry_after_ms, .. } => {
                retry_after_ms
            }
        }
    }
}
