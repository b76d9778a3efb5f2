//! Blocks of tickets that a home grants with its announcements.

use {
    super::{AgentId, Ticket, TicketId},
    serde::{Deserialize, Serialize},
    subtle::ConstantTimeEq,
};

/// A block of ticket numbers that its receiver may hand out without a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TicketGrant {
    /// The home that granted the block.
    pub(crate) home: AgentId,
    /// The announcement that carried it; each announcement goes to one entry only.
    pub(crate) generation: u32,
    /// Key under which the block's tickets are authenticated.
    pub(crate) key: [u8; 32],
    /// How many tickets the block holds, numbered from zero.
    pub(crate) count: u32,
}

impl TicketGrant {
    /// The block's ticket with this number.
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

/// The secret from which a home derives the keys of all its grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GrantSecret([u8; 32]);

impl GrantSecret {
    /// Takes 32 random bytes as the secret.
    pub(crate) const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Makes the grant of one announcement.
    pub(crate) fn grant(&self, home: AgentId, generation: u32, count: u32) -> TicketGrant {
        TicketGrant {
            home,
            generation,
            key: self.key(generation),
            count,
        }
    }

    /// Whether this secret authenticated the ticket; compared in constant time.
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
