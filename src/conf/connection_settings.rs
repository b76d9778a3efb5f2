//! Settings of client connections.

use {
    super::TableReader,
    crate::core::{connections::ConnectionLimits, routes::HttpLimits},
    rustix::process::{Resource, getrlimit},
    std::fs,
};

const BYTES_PER_MB: u64 = 1 << 20;
/// Memory that one connection takes without a request body: socket, task and read buffer.
const CONNECTION_BYTES: u64 = 16_384;
/// Part of the memory that connections may take without their requests.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Part of the memory that buffered requests may take. A growing buffer is copied, a parsed request takes
/// more than its body, and freed memory returns to the system late.
const REQUEST_MEMORY_DIVISOR: u64 = 8;
/// Part of the descriptors that the connections of clients may take.
const DESCRIPTOR_SHARE_DIVISOR: u64 = 3;
/// Part of the descriptors that agents and other entries may take.
const PEER_SHARE_PERCENT: u64 = 43;
/// Assumed if the operating system doesn't tell.
const FALLBACK_MEMORY_MB: u64 = 128;
/// Assumed if the operating system sets no limit.
const FALLBACK_DESCRIPTORS: u64 = 1_024;

/// Limits on the connections to a process's servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionSettings {
    /// Limits of each HTTP server.
    pub(crate) http: ConnectionLimits,
    /// Limits of the server for agents and other entries.
    pub(crate) peers: ConnectionLimits,
}

/// Reads the resources of the process and the limits on its connections; their defaults follow from the resources.
pub(super) fn read_connection_settings(reader: &mut TableReader<'_>) -> ConnectionSettings {
    let memory_mb = reader.number("memory_mb", 16..=1_048_576, Some(host_memory_mb()));
    let descriptors = reader.number("max_descriptors", 64..=1_048_576, Some(descriptor_limit()));
    let memory_bytes = memory_mb * BYTES_PER_MB;
    let by_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
    let connections = (descriptors / DESCRIPTOR_SHARE_DIVISOR).min(by_memory);
    let max_connections = reader.number("max_connections", 8..=1_048_576, Some(connections));
    let max_buffered_bytes = reader.number(
        "max_buffered_bytes",
        65_536..=1_099_511_627_776,
        Some(memory_bytes / REQUEST_MEMORY_DIVISOR),
    );
    let peers = descriptors * PEER_SHARE_PERCENT / 100;
    let max_peers = reader.number("max_peer_connections", 8..=1_048_576, Some(peers));
    if max_connections + max_peers >= descriptors {
        let message = format!(
            "{max_connections} and max_peer_connections of {max_peers} must leave some of the {descriptors} descriptors"
        );
        reader.report_fault("max_connections", message);
    }
    let limits = |max_connections| ConnectionLimits {
        max_connections: to_usize(max_connections),
        max_buffered_bytes: to_usize(max_buffered_bytes),
    };
    ConnectionSettings {
        http: limits(max_connections),
        peers: limits(max_peers),
    }
}

/// Reads the limits on single requests of a standalone deployment; a site's configuration has its own.
pub(super) fn read_http_limits(
    reader: &mut TableReader<'_>,
    default_body_bytes: usize,
) -> HttpLimits {
    HttpLimits {
        max_header_bytes: reader.number("max_header_bytes", 8_192..=1_048_576, Some(65_536)),
        max_body_bytes: reader.number(
            "max_body_bytes",
            1_024..=16_777_216,
            Some(default_body_bytes),
        ),
        header_timeout_ms: reader.number("header_timeout_ms", 100..=600_000, Some(10_000)),
        idle_timeout_ms: reader.number("idle_timeout_ms", 100..=600_000, Some(60_000)),
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// Memory of the host, in megabytes.
fn host_memory_mb() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|value| value.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    total.map_or(FALLBACK_MEMORY_MB, |kilobytes| (kilobytes / 1_024).max(16))
}

/// Maximum number of open descriptors of this process.
fn descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(FALLBACK_DESCRIPTORS, |limit| limit.clamp(64, 1_048_576))
}
