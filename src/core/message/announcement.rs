//! The periodic announcement of an agent to an entry, and the reply.

use {
    crate::core::ticket::{AgentId, TicketGrant},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An agent's announcement to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// The agent's process incarnation.
    pub(crate) agent: AgentId,
    /// Sequence number; receivers ignore announcements that arrive out of order.
    pub(crate) number: u64,
    /// The worker's name in the configuration.
    pub(crate) worker: String,
    /// The availability zone from the agent's settings.
    pub(crate) availability_zone: String,
    /// Address on which the agent accepts peer connections.
    pub(crate) peer_addr: SocketAddr,
    /// Services that the backend server announced; empty while no backend server is available.
    pub(crate) services: Vec<String>,
    /// Total slots of the backend server.
    pub(crate) slots: u16,
    /// Slots that are free now.
    pub(crate) free_slots: u16,
    /// The agent or its backend server is shutting down and accepts no new work.
    pub(crate) leaving: bool,
    /// Version of the agent's configuration.
    pub(crate) config_version: u64,
    /// Digest of the agent's roster, or zero if it has none.
    pub(crate) roster_digest: u64,
    /// Homes of stopped processes that this agent has adopted and whose tickets it serves.
    pub(crate) adopted: Vec<AgentId>,
    /// Tickets that the receiving entry may issue.
    pub(crate) grant: Option<TicketGrant>,
}

impl Announcement {
    /// One-byte digest of the fields that change rarely; entries compare it to detect stale copies.
    pub(crate) fn fingerprint(&self) -> u8 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.agent.0.to_le_bytes());
        hasher.update(self.peer_addr.to_string().as_bytes());
        hasher.update(&self.slots.to_le_bytes());
        hasher.update(&[u8::from(self.leaving)]);
        hasher.update(&(self.adopted.len() as u64).to_le_bytes());
        for home in &self.adopted {
            hasher.update(&home.0.to_le_bytes());
        }
        for text in self.services.iter().chain([&self.availability_zone]) {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.finalize().as_bytes()[0]
    }
}

/// An entry as listed in the roster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct PeerEntry {
    /// The entry's process incarnation.
    pub(crate) entry: AgentId,
    /// The entry's name in its settings.
    pub(crate) name: String,
    /// Address on which the entry accepts peer connections.
    pub(crate) peer_addr: SocketAddr,
}

/// Digest that identifies a roster; never zero, which stands for no roster.
pub(crate) fn roster_digest(roster: &[PeerEntry]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for entry in roster {
        hasher.update(&entry.entry.0.to_le_bytes());
        hasher.update(entry.peer_addr.to_string().as_bytes());
    }
    let mut bytes = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes).max(1)
}

/// The entry's reply to an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnnouncementReply {
    /// The entries to announce to; `None` if the agent has this roster already.
    pub(crate) roster: Option<Vec<PeerEntry>>,
    /// For a leaving agent, addresses that could adopt its homes; empty otherwise.
    pub(crate) successors: Vec<SocketAddr>,
    /// Version of the configuration in force at the entry.
    pub(crate) config_version: u64,
    /// Whether the agent's availability zone is open in that version.
    pub(crate) zone_open: bool,
    /// For how long the runner may start tasks, counted from when the announcement was sent;
    /// zero if the entry cannot confirm that the configuration is current.
    pub(crate) permit_ms: u64,
}
