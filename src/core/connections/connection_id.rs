//! Key of a connection.

/// Number of a connection among those of its server, in the order in which they were opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);
