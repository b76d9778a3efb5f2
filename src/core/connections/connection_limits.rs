//! Limits on the connections of one server.

/// Bounds what the connections of a server hold in total.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of connections.
    pub(crate) max_connections: usize,
    /// Maximum size of all requests that are being received or handled, in bytes.
    pub(crate) max_buffered_bytes: usize,
}
