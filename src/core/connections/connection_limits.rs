//! Limits on the connections of one server.

/// Part of the limits that servers without clients get, such as those for metrics and probes.
const AUXILIARY_DIVISOR: usize = 8;
/// A few probes at the same time must always be possible.
const MIN_AUXILIARY_CONNECTIONS: usize = 8;

/// Bounds what the connections of a server hold in total.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of connections.
    pub(crate) max_connections: usize,
    /// Maximum size of all requests that are being received or handled, in bytes.
    pub(crate) max_buffered_bytes: usize,
}

impl ConnectionLimits {
    /// Limits of a server that clients' load doesn't reach.
    pub(crate) fn auxiliary(self) -> Self {
        let connections = self.max_connections / AUXILIARY_DIVISOR;
        Self {
            max_connections: connections.max(MIN_AUXILIARY_CONNECTIONS),
            max_buffered_bytes: self.max_buffered_bytes / AUXILIARY_DIVISOR,
        }
    }
}
