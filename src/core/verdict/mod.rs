//! Verdicts: whether a request may have run. All layers use them as their error type.

mod may_have_run_reason;
mod not_run_reason;
mod reasons;
mod verdict;

pub(crate) use {
    may_have_run_reason::MayHaveRunReason, not_run_reason::NotRunReason, reasons::reasons,
    verdict::Verdict,
};
