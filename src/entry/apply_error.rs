//! Errors of configuration changes.

use {
    crate::{conf::Fault, core::config::SectionConflict, ports::StoreError},
    quick_error::quick_error,
};

quick_error! {
    /// Why a change was refused. Except for `OutcomeUnknown`, nothing was changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// The token belongs to no operator.
        Unauthorized {
            display("the token is not known")
        }
        /// The operator may not change this section.
        Forbidden(section: String) {
            display("the token does not cover section \"{}\"", section)
        }
        /// The document is invalid.
        Invalid(faults: Vec<Fault>) {
            display("the document has {} faults", faults.len())
        }
        /// The availability zone is not in the document in force.
        UnknownZone(zone: String) {
            display("no availability zone is named \"{}\"", zone)
        }
        /// The base version isn't in the history.
        UnknownBase(version: u64) {
            display("there is no version {} to be based on", version)
        }
        /// The same sections have changed since the base version.
        Conflict(version: u64, conflicts: Vec<SectionConflict>) {
            display("{} changed since; version {} is in force", sections(conflicts), version)
        }
        /// Too many concurrent changes.
        Busy {
            display("too many changes at once; nothing was changed")
        }
        /// The platform is unavailable, and nothing was changed.
        Unavailable(error: StoreError) {
            display("{}; nothing was changed", error)
        }
        /// The platform's reply was lost and the store couldn't be read afterwards: the change may
        /// have been accepted as this version.
        OutcomeUnknown(version: u64, detail: String) {
            display("{}; version {} may have been accepted: see the history", detail, version)
        }
    }
}

impl ApplyError {
    /// Returns the reason used in metrics and responses.
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Forbidden(_) => "forbidden",
            Self::Invalid(_) => "invalid",
            Self::UnknownZone(_) => "unknown_zone",
            Self::UnknownBase(_) => "unknown_base",
            Self::Conflict(..) => "conflict",
            Self::Busy => "busy",
            Self::Unavailable(_) => "store_unavailable",
            Self::OutcomeUnknown(..) => "outcome_unknown",
        }
    }
}

fn sections(conflicts: &[SectionConflict]) -> String {
    let names: Vec<&str> = conflicts.iter().map(|conflict| conflict.section).collect();
    format!("section {}", names.join(", "))
}
