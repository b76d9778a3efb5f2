//! Result of a connection attempt.

/// Result of one dial of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DialOutcome {
    /// A session was opened.
    Connected,
    /// The host responded, but no session was opened: the process is not running yet, or closed the
    /// connection.
    Refused,
    /// Nothing arrived within the dial's timeout.
    NoResponse,
}

impl DialOutcome {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::NoResponse => "no_response",
        }
    }
}
