//! Which tickets have been used, by generation.

use {
    crate::core::{
        ticket::{AgentId, GrantSecret, Ticket, TicketGrant, TicketId},
        time::Instant,
    },
    slotmap::new_key_type,
    std::collections::BTreeMap,
};

new_key_type! {
    /// A job in the home's arena.
    pub(crate) struct JobKey;
}

/// What the ring says about a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketState {
    /// This home never granted it.
    Forged,
    /// Its generation has been dropped; whether it ran is not known any more.
    Expired,
    /// Granted and not used.
    Unused,
    /// Used for this job.
    Used(JobKey),
}

#[derive(Debug)]
struct Generation {
    granted_at: Instant,
    /// Past its time: no job may begin, those that run may end.
    closed: bool,
    jobs: BTreeMap<u32, JobKey>,
}

/// The generations of tickets that are still good.
///
/// Guards against a second start when a client resubmits: a ticket is recorded before its first
/// task starts, and once its generation is dropped no job can begin under it at all, so a ticket
/// without a record is either unused or refused. Only this home's own clock counts.
#[derive(Debug)]
pub(crate) struct TicketRing {
    home: AgentId,
    secret: GrantSecret,
    ttl_ms: u64,
    next_generation: u32,
    generations: BTreeMap<u32, Generation>,
}

impl TicketRing {
    /// An empty ring.
    pub(crate) const fn new(home: AgentId, secret: GrantSecret, ttl_ms: u64) -> Self {
        Self {
            home,
            secret,
            ttl_ms,
            next_generation: 0,
            generations: BTreeMap::new(),
        }
    }

    /// Opens a generation and grants its tickets.
    pub(crate) fn grant(&mut self, now: Instant, count: u32) -> TicketGrant {
        let generation = self.next_generation;
        self.next_generation += 1;
        let opened = Generation {
            granted_at: now,
            closed: false,
            jobs: BTreeMap::new(),
        };
        self.generations.insert(generation, opened);
        self.secret.grant(self.home, generation, count)
    }

    /// What is known of a ticket.
    pub(crate) fn state(&self, ticket: &Ticket) -> TicketState {
        if ticket.id.home != self.home || !self.secret.verifies(ticket) {
            return TicketState::Forged;
        }
        self.state_of(&ticket.id)
    }

    /// What is known of a ticket whose MAC was verified when it was recorded.
    pub(crate) fn state_of(&self, id: &TicketId) -> TicketState {
        let Some(generation) = self.generations.get(&id.generation) else {
            return TicketState::Expired;
        };
        match generation.jobs.get(&id.counter) {
            Some(&key) => TicketState::Used(key),
            None if generation.closed => TicketState::Expired,
            None => TicketState::Unused,
        }
    }

    /// Records that a ticket is used for a job.
    pub(crate) fn record(&mut self, ticket: &Ticket, key: JobKey) {
        if let Some(generation) = self.generations.get_mut(&ticket.id.generation) {
            generation.jobs.insert(ticket.id.counter, key);
        }
    }

    /// Drops the records past their time to live and returns their jobs.
    ///
    /// Guards against a lost answer when a ticket's time is over in the middle of its job: the
    /// record of a running job stays until the job has ended, and only the rest of its
    /// generation is dropped.
    pub(crate) fn drop_expired(
        &mut self,
        now: Instant,
        is_running: impl Fn(JobKey) -> bool,
    ) -> Vec<JobKey> {
        let expired: Vec<u32> = self
            .generations
            .iter()
            .take_while(|(_, generation)| now.millis_since(generation.granted_at) >= self.ttl_ms)
            .map(|(number, _)| *number)
            .collect();
        let mut dropped = Vec::new();
        for number in expired {
            let Some(generation) = self.generations.get_mut(&number) else {
                continue;
            };
            generation.closed = true;
            generation.jobs.retain(|_, key| {
                let keep = is_running(*key);
                if !keep {
                    dropped.push(*key);
                }
                keep
            });
            if generation.jobs.is_empty() {
                self.generations.remove(&number);
            }
        }
        dropped
    }
}
