//! An entry's supply of granted tickets.

use {
    super::{AgentId, Ticket, TicketGrant},
    crate::core::time::Instant,
    std::collections::BTreeMap,
};

/// Age from which a grant is not used, in milliseconds, so that a ticket reaches its client well
/// before it expires.
const GRANT_MAX_AGE_MS: u64 = 5_000;

#[derive(Debug)]
struct Block {
    grant: TicketGrant,
    received_at: Instant,
    next: u32,
}

/// Issues tickets from the newest grant of each home.
#[derive(Debug, Default)]
pub(crate) struct TicketOffice {
    blocks: BTreeMap<AgentId, Block>,
}

impl TicketOffice {
    /// Stores a grant, which replaces the home's earlier one.
    pub(crate) fn store_grant(&mut self, now: Instant, grant: TicketGrant) {
        let block = Block {
            received_at: now,
            next: 0,
            grant,
        };
        self.blocks.insert(block.grant.home, block);
    }

    /// Drops the grant of a home that is leaving or unavailable.
    pub(crate) fn remove_grant(&mut self, home: AgentId) {
        self.blocks.remove(&home);
    }

    /// Homes with usable tickets.
    pub(crate) fn homes(&self, now: Instant) -> Vec<AgentId> {
        self.blocks
            .values()
            .filter(|block| block.is_usable(now))
            .map(|block| block.grant.home)
            .collect()
    }

    /// Issues the next ticket of this home, if a usable one is left.
    pub(crate) fn mint(&mut self, now: Instant, home: AgentId) -> Option<Ticket> {
        let block = self.blocks.get_mut(&home)?;
        if !block.is_usable(now) {
            return None;
        }
        let ticket = block.grant.ticket(block.next);
        block.next += 1;
        Some(ticket)
    }
}

impl Block {
    fn is_usable(&self, now: Instant) -> bool {
        self.next < self.grant.count && now.millis_since(self.received_at) < GRANT_MAX_AGE_MS
    }
}
