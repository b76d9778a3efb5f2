//! What entries tell each other about every second.

use {
    super::{Announcement, PeerEntry},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Where a change stops tasks from starting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Closing {
    /// In a whole availability zone.
    Zone(String),
    /// At one worker.
    Worker(String),
}

impl Closing {
    /// Whether it concerns this worker in this availability zone.
    pub(crate) fn covers(&self, availability_zone: &str, worker: &str) -> bool {
        match self {
            Self::Zone(name) => name == availability_zone,
            Self::Worker(name) => name == worker,
        }
    }
}

/// What one entry can vouch for when it says so.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GateStatus {
    /// Version of the configuration that it holds.
    pub(crate) version: u64,
    /// What writes of its own may be closing: begun, and not yet settled.
    pub(crate) closing: BTreeSet<Closing>,
    /// Age of its last own reading of the head row; `None` while it is older than permits allow.
    pub(crate) head_age_ms: Option<u64>,
}

/// An agent that the sender heard itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgentReport {
    /// The sender's short number for the agent.
    pub(crate) index: u32,
    /// What the agent said last, without its grant.
    pub(crate) announcement: Announcement,
}

/// A sign of life of an agent that was reported in full before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgentHeartbeat {
    /// The sender's short number for the agent.
    pub(crate) index: u32,
    /// Slots free when it last announced.
    pub(crate) free_slots: u16,
    /// Fingerprint of what it said; another one than the receiver's asks for a report.
    pub(crate) fingerprint: u8,
}

/// From one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// The sender.
    pub(crate) from: PeerEntry,
    /// Version of the configuration that the sender holds.
    pub(crate) version: u64,
    /// Agents that are new to the receiver or said something new.
    pub(crate) reports: Vec<AgentReport>,
    /// All other agents that the sender heard since the last digest.
    pub(crate) beats: Vec<AgentHeartbeat>,
}

/// The receiver's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DigestReply {
    /// The process that answers; another one than expected does not speak for it.
    pub(crate) entry: crate::core::ticket::AgentId,
    /// What it can vouch for; as of after the digest arrived.
    pub(crate) status: GateStatus,
    /// Beats of agents that it doesn't know: report them in full.
    pub(crate) unknown: Vec<u32>,
}

/// From an entry to an agent whose availability zone was taken out or in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GateNotice {
    /// Version of the configuration that says so.
    pub(crate) config_version: u64,
    /// Whether tasks may start at this worker in that version.
    pub(crate) zone_open: bool,
}
