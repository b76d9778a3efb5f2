//! The entry's stock of granted tickets.

use {
    super::{AgentId, Ticket, TicketGrant},
    crate::core::time::Instant,
    std::collections::BTreeMap,
};

/// Grants older than this are not handed out, so a ticket reaches its client well before it expires.
const GRANT_MAX_AGE_MS: u64 = 5_000;

#[derive(Debug)]
struct Block {
    grant: TicketGrant,
    received_at: Instant,
    next: u32,
}

/// Hands out tickets from the newest grant of each home.
#[derive(Debug, Default)]
pub(crate) struct TicketOffice {
    blocks: BTreeMap<AgentId, Block>,
}

impl TicketOffice {
    /// Takes a grant in; it replaces the home's earlier one.
    pub(crate) fn receive(&mut self, now: Instant, grant: TicketGrant) {
        let block = Block {
            received_at: now,
            next: 0,
            grant,
        };
        self.blocks.insert(block.grant.home, block);
    }

    /// Drops the grant of a home that is leaving or gone.
    pub(crate) fn forget(&mut self, home: AgentId) {
        self.blocks.remove(&home);
    }

    /// The homes that still have fresh tickets here.
    pub(crate) fn homes(&self, now: Instant) -> Vec<AgentId> {
        self.blocks
            .values()
            .filter(|block| block.is_usable(now))
            .map(|block| block.grant.home)
            .collect()
    }

    /// Hands out the next ticket of this home, if it has one left.
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
