//! Orders to close a connection.

use {super::ConnectionId, crate::core::verdict::reasons};

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A request header is being received, or the first one is awaited.
    Header,
    /// A request body is being received.
    Body,
    /// A complete request is being handled.
    Handling,
    /// The next request is awaited.
    Idle,
}

impl Stage {
    /// Name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Header => "header",
            Self::Body => "body",
            Self::Handling => "handling",
            Self::Idle => "idle",
        }
    }
}

reasons! {
    /// Why a connection is closed.
    CloseCause {
        /// There are too many connections.
        Connections => "connections",
        /// The requests occupy too much memory.
        Memory => "memory",
    }
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// After a response that the request was rejected.
    Reject,
    /// At once.
    Abort,
}

/// A connection to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Closing {
    pub(crate) id: ConnectionId,
    pub(crate) cause: CloseCause,
    pub(crate) mode: CloseMode,
    /// What the connection was doing.
    pub(crate) stage: Stage,
    /// For how long.
    pub(crate) held_ms: u64,
    /// What its request occupied.
    pub(crate) buffered_bytes: usize,
}
