//! Failed attempts to open a session.

use {
    crate::core::redial::DialOutcome,
    quick_error::quick_error,
    std::io::{self, ErrorKind},
};

quick_error! {
    /// Why a session could not be opened.
    #[derive(Debug, PartialEq, Eq)]
    pub enum DialError {
        /// The host responded, but no session was opened.
        Refused(detail: String) {
            display("refused: {}", detail)
        }
        /// Nothing arrived in time, or no route leads to the host.
        NoResponse(detail: String) {
            display("no response: {}", detail)
        }
    }
}

impl DialError {
    pub(super) fn refused(error: impl ToString) -> Self {
        Self::Refused(error.to_string())
    }

    /// Classifies an error of the connect call.
    pub(super) fn connect(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Self::refused(error),
            _ => Self::NoResponse(error.to_string()),
        }
    }

    pub(crate) const fn outcome(&self) -> DialOutcome {
        match self {
            Self::Refused(_) => DialOutcome::Refused,
            Self::NoResponse(_) => DialOutcome::NoResponse,
        }
    }
}
