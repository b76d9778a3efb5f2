//! Digests that entries exchange periodically.

use {
    super::{Announcement, PeerEntry},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The scope in which a configuration change stops tasks from starting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Closing {
    /// An availability zone with all its workers.
    Zone(String),
    /// One worker.
    Worker(String),
}

impl Closing {
    /// Whether the scope contains this worker in this availability zone.
    pub(crate) fn covers(&self, availability_zone: &str, worker: &str) -> bool {
        match self {
            Self::Zone(name) => name == availability_zone,
            Self::Worker(name) => name == worker,
        }
    }
}

/// An entry's view of the configuration at the time of sending.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GateStatus {
    /// Version of the entry's configuration.
    pub(crate) version: u64,
    /// Scopes that the entry's own unfinished writes may close.
    pub(crate) closing: BTreeSet<Closing>,
    /// Age of the entry's last own read of the head row; `None` if it is too old to issue permits.
    pub(crate) head_age_ms: Option<u64>,
}

/// The full state of an agent that announced itself to the sender directly.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgentReport {
    /// The sender's index for the agent.
    pub(crate) index: u32,
    /// The agent's latest announcement, without its grant.
    pub(crate) announcement: Announcement,
}

/// Heartbeat of an agent that was reported in full before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgentHeartbeat {
    /// The sender's index for the agent.
    pub(crate) index: u32,
    /// Free slots in the agent's latest announcement.
    pub(crate) free_slots: u16,
    /// Fingerprint of the agent's announcement; on a mismatch the receiver requests a full report.
    pub(crate) fingerprint: u8,
}

/// A digest from one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// The sender.
    pub(crate) from: PeerEntry,
    /// Version of the sender's configuration.
    pub(crate) version: u64,
    /// Agents that are new to the receiver or whose announcement changed.
    pub(crate) reports: Vec<AgentReport>,
    /// All other agents that announced themselves to the sender since the last digest.
    pub(crate) beats: Vec<AgentHeartbeat>,
}

/// The receiver's reply to a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DigestReply {
    /// The replying process; a reply from another process than the expected one is not valid.
    pub(crate) entry: crate::core::ticket::AgentId,
    /// The receiver's status after it applied the digest.
    pub(crate) status: GateStatus,
    /// Indexes of agents that the sender must report in full.
    pub(crate) unknown: Vec<u32>,
}

/// Notifies an agent that its availability zone was opened or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GateNotice {
    /// Version of the configuration with this state.
    pub(crate) config_version: u64,
    /// Whether tasks may start at this worker in that version.
    pub(crate) zone_open: bool,
}
