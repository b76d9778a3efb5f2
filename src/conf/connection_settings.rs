//! Settings of client connections.

use {
    super::TableReader,
    crate::core::connections::ConnectionLimits,
    rustix::process::{Resource, getrlimit},
    std::fs,
};

const BYTES_PER_MB: u64 = 1 << 20;
/// Memory that one connection takes without a request body: socket, task and read buffer.
const CONNECTION_BYTES: u64 = 16_384;
/// Part of the memory that buffered requests may take, and part that idle connections may take.
const MEMORY_SHARE_DIVISOR: u64 = 4;
/// Part of the descriptors that connections of clients may take; the rest is for workers, the store and peers.
const DESCRIPTOR_SHARE_DIVISOR: u64 = 3;
/// Assumed if the operating system doesn't tell.
const FALLBACK_MEMORY_MB: u64 = 128;
/// Assumed if the operating system sets no limit.
const FALLBACK_DESCRIPTORS: u64 = 1_024;

/// Reads the resources of the process and the limits on its connections; their defaults follow from the resources.
pub(super) fn read_connection_limits(reader: &mut TableReader<'_>) -> ConnectionLimits {
    let memory_mb = reader.number("memory_mb", 16..=1_048_576, Some(host_memory_mb()));
    let descriptors = reader.number("max_descriptors", 64..=1_048_576, Some(descriptor_limit()));
    let memory_bytes = memory_mb * BYTES_PER_MB / MEMORY_SHARE_DIVISOR;
    let connections = (descriptors / DESCRIPTOR_SHARE_DIVISOR).min(memory_bytes / CONNECTION_BYTES);
    let max_connections = reader.number("max_connections", 8..=1_048_576, Some(connections));
    if max_connections >= descriptors {
        let message = format!("must be below max_descriptors, which is {descriptors}");
        reader.report_fault("max_connections", message);
    }
    ConnectionLimits {
        max_connections: to_usize(max_connections),
        max_buffered_bytes: to_usize(reader.number(
            "max_buffered_bytes",
            65_536..=1_099_511_627_776,
            Some(memory_bytes),
        )),
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
