//! Blocks of tickets that a home grants with its announcements.

use {
    super::{AgentId, Ticket, TicketId},
    serde::{Deserialize, Serialize},
    subtle::ConstantTimeEq,
};

/// A block of tickets that the receiving entry may issue without contacting the home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TicketGrant {
    /// The home that granted the block.
    pub(crate) home: AgentId,
    /// The grant's number at its home; each grant is sent to one entry only.
    pub(crate) generation: u32,
    /// Key that authenticates the block's tickets.
    pub(crate) key: [u8; 32],
    /// Number of tickets in the block; their counters start at zero.
    pub(crate) count: u32,
}

impl TicketGrant {
    /// The block's ticket with this counter.
    pub(crate) fn ticket(&self, counter: u32) -> Ticket {
        Ticket {
            id: TicketId {
                home: self.home,
                generation: self.generation,
                counter,
            },
            mac: mac(&self.key, counter),
        }
    }
}

/// Secret from which a home derives the keys of all its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GrantSecret([u8; 32]);

impl GrantSecret {
    /// Creates a secret from 32 random bytes.
    pub(crate) const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Creates the grant for one announcement.
    pub(crate) fn grant(&self, home: AgentId, generation: u32, count: u32) -> TicketGrant {
        TicketGrant {
            home,
            generation,
            key: self.key(generation),
            count,
        }
    }

    /// Whether the ticket's MAC was made with this secret; compares in constant time.
    pub(crate) fn verifies(&self, ticket: &Ticket) -> bool {
        let expected = mac(&self.key(ticket.id.generation), ticket.id.counter);
        expected.ct_eq(&ticket.mac).into()
    }

    fn key(&self, generation: u32) -> [u8; 32] {
        *blake3::keyed_hash(&self.0, &generation.to_le_bytes()).as_bytes()
    }
}

fn mac(key: &[u8; 32], counter: u32) -> [u8; 16] {
    let hash = blake3::keyed_hash(key, &counter.to_le_bytes());
    let mut mac = [0; 16];
    mac.copy_from_slice(&hash.as_bytes()[..16]);
    mac
}
