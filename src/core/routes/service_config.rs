//! Services and limits of the configuration.

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceConfig {
    /// Its name.
    pub(crate) name: String,
    /// Its workers reject what does not fit; otherwise the system must keep within their room.
    pub(crate) rejects_overload: bool,
}

/// Limits for clients' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HttpLimits {
    /// Most bytes of a request's head.
    pub(crate) max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub(crate) max_body_bytes: usize,
    /// Longest time to read a request's head.
    pub(crate) header_timeout_ms: u64,
    /// Longest pause between requests, and between pieces of a body.
    pub(crate) idle_timeout_ms: u64,
}

impl Default for HttpLimits {
    /// What holds until a configuration names others; the figures are usual ones of HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
