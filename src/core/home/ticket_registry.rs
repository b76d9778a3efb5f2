//! The granted tickets and their use, by generation.

use {
    super::records::GenerationRecord,
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

/// State of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketState {
    /// The MAC doesn't match: this home never granted it.
    Forged,
    /// Another home granted it.
    Foreign,
    /// Its generation was dropped, so whether it ran is unknown.
    Expired,
    /// Granted and not used.
    Unused,
    /// Used for this job.
    Used(JobKey),
}

#[derive(Debug)]
struct Generation {
    granted_at: Instant,
    /// Past its lifetime: no job may start, running ones may end.
    closed: bool,
    jobs: BTreeMap<u32, JobKey>,
}

/// The generations of tickets that are still valid.
///
/// A resubmission never starts a job twice: a ticket is recorded before its first task starts, and
/// no job can start under it once its generation is dropped. Only this home's own clock decides.
#[derive(Debug)]
pub(crate) struct TicketRegistry {
    home: AgentId,
    secret: GrantSecret,
    ttl_ms: u64,
    next_generation: u32,
    generations: BTreeMap<u32, Generation>,
}

impl TicketRegistry {
    /// An empty registry.
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

    /// The secret that authenticates the granted tickets.
    pub(super) const fn secret(&self) -> &GrantSecret {
        &self.secret
    }

    /// Number of the next grant.
    pub(super) const fn next_generation(&self) -> u32 {
        self.next_generation
    }

    /// The valid generations, oldest first.
    pub(super) fn generations(&self, now: Instant) -> Vec<GenerationRecord> {
        self.generations
            .iter()
            .map(|(number, generation)| GenerationRecord {
                number: *number,
                age_ms: now.millis_since(generation.granted_at),
                closed: generation.closed,
            })
            .collect()
    }

    /// Restores the generations of a handed-over home.
    ///
    /// The clock starts with this process, so a generation granted earlier may be retained longer
    /// than its lifetime; its records are retained with it.
    pub(super) fn restore(
        &mut self,
        now: Instant,
        next_generation: u32,
        generations: &[GenerationRecord],
    ) {
        self.next_generation = next_generation;
        self.generations = generations
            .iter()
            .map(|record| {
                let generation = Generation {
                    granted_at: now.minus_ms(record.age_ms),
                    closed: record.closed,
                    jobs: BTreeMap::new(),
                };
                (record.number, generation)
            })
            .collect();
    }

    /// Whether no generation is left.
    pub(super) fn is_empty(&self) -> bool {
        self.generations.is_empty()
    }

    /// State of a ticket from a request; verifies its MAC.
    pub(crate) fn state(&self, ticket: &Ticket) -> TicketState {
        if ticket.id.home != self.home {
            return TicketState::Foreign;
        }
        if !self.secret.verifies(ticket) {
            return TicketState::Forged;
        }
        self.state_of(&ticket.id)
    }

    /// State of a ticket whose MAC was verified before.
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
    pub(crate) fn record(&mut self, ticket: &TicketId, key: JobKey) {
        if let Some(generation) = self.generations.get_mut(&ticket.generation) {
            generation.jobs.insert(ticket.counter, key);
        }
    }

    /// Marks a ticket as unused; in a closed generation it becomes expired.
    pub(super) fn release(&mut self, ticket: &TicketId) {
        if let Some(generation) = self.generations.get_mut(&ticket.generation) {
            generation.jobs.remove(&ticket.counter);
        }
    }

    /// Drops the records past their lifetime and returns their jobs.
    ///
    /// The record of a running job stays until the job has ended, so that its client still gets the
    /// answer.
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
