//! Settings of services and client connections.

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceConfig {
    pub(crate) name: String,
    /// Whether workers reject tasks beyond their capacity; if not, the system must not exceed it.
    pub(crate) rejects_overload: bool,
}

/// Limits on client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HttpLimits {
    /// Maximum size of a request's header section, in bytes.
    pub(crate) max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum time to read a request's header section.
    pub(crate) header_timeout_ms: u64,
    /// Maximum idle time between requests, and between chunks of a body.
    pub(crate) idle_timeout_ms: u64,
}

impl Default for HttpLimits {
    /// Limits that apply unless the configuration sets others; typical for HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
