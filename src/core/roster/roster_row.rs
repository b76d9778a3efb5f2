//! The store rows that register an entry on the roster.

use {
    crate::core::{message::PeerEntry, ticket::AgentId},
    serde::{Deserialize, Serialize},
};

/// Prefix of all rows of the roster.
pub(crate) const ROSTER_PREFIX: &str = "entries-";
/// Suffix of the key of a heartbeat row.
const HEARTBEAT_SUFFIX: &str = "-beat";

/// An entry's row; written once, so that a configuration change can check that it exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RosterRow {
    pub(crate) entry: PeerEntry,
    /// How long the entry may grant permits without the platform after a write of its heartbeat
    /// row; other entries remove its rows only after that time.
    pub(crate) outage_limit_ms: u64,
}

/// Returns the key of an entry's row.
pub(crate) fn entry_key(entry: AgentId) -> String {
    format!("{ROSTER_PREFIX}{:016x}", entry.0)
}

/// Returns the key of an entry's heartbeat row.
pub(crate) fn heartbeat_key(entry: AgentId) -> String {
    format!("{ROSTER_PREFIX}{:016x}{HEARTBEAT_SUFFIX}", entry.0)
}
