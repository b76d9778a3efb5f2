//! Selects the entry that an agent announces itself to.

use {
    crate::core::{entry_selection::rendezvous_weight, ticket::AgentId, time::Instant},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Number of entries that an agent announces itself to in rotation, so that each entry gets tickets
/// even when there are few agents. An announcement grants tickets to its entry for five seconds.
const ROTATION_SIZE: usize = 3;
/// How long an entry is tried last after a failure, in milliseconds.
const SUSPECT_TIMEOUT_MS: u64 = 3_000;

/// Selects entries by rendezvous hashing: adding or removing an entry changes the choice of few
/// agents only.
#[derive(Debug)]
pub(crate) struct EntryChoice {
    agent: AgentId,
    seeds: Vec<SocketAddr>,
    roster: Vec<SocketAddr>,
    suspects: BTreeMap<SocketAddr, Instant>,
    turn: usize,
}

impl EntryChoice {
    /// Creates the choice from the entries in the agent's settings.
    pub(crate) fn new(agent: AgentId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            agent,
            seeds,
            roster: Vec::new(),
            suspects: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Replaces the roster by the one of an entry's reply; ignores an empty one.
    pub(crate) fn set_roster(&mut self, roster: Vec<SocketAddr>) {
        if !roster.is_empty() {
            self.roster = roster;
        }
    }

    /// Records that an entry didn't respond or can't confirm its configuration.
    pub(crate) fn mark_suspect(&mut self, now: Instant, entry: SocketAddr) {
        self.suspects.insert(entry, now);
    }

    /// Records that an entry responded.
    pub(crate) fn clear_suspect(&mut self, entry: SocketAddr) {
        self.suspects.remove(&entry);
    }

    /// Returns the entries to try for the next announcement, in order.
    pub(crate) fn next_attempt_order(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.suspects
            .retain(|_, since| now.millis_since(*since) < SUSPECT_TIMEOUT_MS);
        let mut order = ranked(self.agent, &self.roster);
        let rotation_size = order.len().clamp(1, ROTATION_SIZE);
        let turn = self.turn % rotation_size;
        self.turn = self.turn.wrapping_add(1);
        if turn < order.len() {
            order[..rotation_size].rotate_left(turn);
        }
        for seed in ranked(self.agent, &self.seeds) {
            if !order.contains(&seed) {
                order.push(seed);
            }
        }
        // The sort is stable; suspects come last and are tried only when no other entry responds.
        order.sort_by_key(|entry| self.suspects.contains_key(entry));
        order
    }
}

pub(super) fn ranked(agent: AgentId, entries: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_cached_key(|entry| {
        std::cmp::Reverse(rendezvous_weight(&agent.0.to_le_bytes(), *entry))
    });
    ranked.dedup();
    ranked
}
