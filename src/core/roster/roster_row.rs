//! The rows by which an entry stands on the roster.

use {
    crate::core::{message::PeerEntry, ticket::AgentId},
    serde::{Deserialize, Serialize},
};

/// Prefix of all rows of the roster.
pub(crate) const ROSTER_PREFIX: &str = "entries-";
/// Ends the key of the row that is written again and again.
const HEARTBEAT_SUFFIX: &str = "-beat";

/// An entry's row; written once, so that a change of the configuration can check that it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RosterRow {
    /// The entry.
    pub(crate) entry: PeerEntry,
    /// For how long it may grant permits without the platform after a write of its beat row;
    /// nobody removes its rows before.
    pub(crate) outage_limit_ms: u64,
}

/// Key of an entry's row.
pub(crate) fn entry_key(entry: AgentId) -> String {
    format!("{ROSTER_PREFIX}{:016x}", entry.0)
}

/// Key of the row that shows that an entry is there.
pub(crate) fn heartbeat_key(entry: AgentId) -> String {
    format!("{ROSTER_PREFIX}{:016x}{HEARTBEAT_SUFFIX}", entry.0)
}
