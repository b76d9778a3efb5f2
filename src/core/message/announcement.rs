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
    /// Grows with each of its announcements, as they may overtake each other.
    pub(crate) number: u64,
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
    /// Digest of the roster that the agent holds, zero for none.
    pub(crate) roster_digest: u64,
    /// Homes of stopped processes whose tickets this agent answers for.
    pub(crate) adopted: Vec<AgentId>,
    /// Tickets that the receiving entry may hand out.
    pub(crate) grant: Option<TicketGrant>,
}

impl Announcement {
    /// Short digest of all but the load, by which entries notice that they hold different ones.
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

/// An entry as named in the roster.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct PeerEntry {
    /// This run of the entry.
    pub(crate) entry: AgentId,
    /// The entry's name in its settings.
    pub(crate) name: String,
    /// Where the entry listens for peers.
    pub(crate) peer_addr: SocketAddr,
}

/// Digest by which an agent names the roster that it holds; never zero.
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
    /// The entries to announce to, unless the agent holds this roster already.
    pub(crate) roster: Option<Vec<PeerEntry>>,
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
