//! What an agent tells an entry every second, and what it gets back.

use {
    crate::core::ticket::{AgentId, TicketGrant},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An agent's announcement to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// This run of the agent.
    pub(crate) agent: AgentId,
    /// The worker's name in the configuration.
    pub(crate) worker: String,
    /// The availability zone from the agent's settings.
    pub(crate) availability_zone: String,
    /// Where the agent listens for peers.
    pub(crate) peer_addr: SocketAddr,
    /// Services that the backend server announced; empty while none is there.
    pub(crate) services: Vec<String>,
    /// Slots of the backend server.
    pub(crate) slots: u16,
    /// Slots free now.
    pub(crate) free_slots: u16,
    /// No new work, please: the agent or its backend server is leaving.
    pub(crate) leaving: bool,
    /// Version of the configuration that the agent holds.
    pub(crate) config_version: u64,
    /// Homes of stopped processes whose tickets this agent answers for.
    pub(crate) adopted: Vec<AgentId>,
    /// Tickets that the receiving entry may hand out.
    pub(crate) grant: Option<TicketGrant>,
}

/// An entry as named in the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerEntry {
    /// This run of the entry.
    pub(crate) entry: AgentId,
    /// The entry's name in its settings.
    pub(crate) name: String,
    /// Where the entry listens for peers.
    pub(crate) peer_addr: SocketAddr,
}

/// The entry's reply to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnnouncementReply {
    /// The entries on the roster.
    pub(crate) roster: Vec<PeerEntry>,
    /// For a leaving agent: where its homes could move, empty otherwise.
    pub(crate) successors: Vec<SocketAddr>,
    /// Version of the configuration in force at the entry.
    pub(crate) config_version: u64,
    /// Whether the agent's availability zone is open in that version.
    pub(crate) zone_open: bool,
    /// For how long the runner may start tasks, from when the announcement was sent;
    /// zero when the entry can't vouch for the configuration.
    pub(crate) permit_ms: u64,
}
