//! Which entry an agent announces to.

use {
    crate::core::{ticket::AgentId, time::Instant},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Entries that an agent announces to in turn.
///
/// Each announcement grants tickets to the entry that takes it, and a grant is good for five
/// seconds. Taking turns over a few entries keeps tickets of every home at each of them, where
/// one fixed entry for each agent would leave some entries without tickets when agents are few.
const ROTATION_SIZE: usize = 3;
/// For how long an entry that failed is left out, in milliseconds.
const SUSPECT_TIMEOUT_MS: u64 = 3_000;

/// Chooses entries by rendezvous hashing: each agent has an order of its own, and an entry that
/// comes or goes changes the choice only of the agents that it wins or loses.
#[derive(Debug)]
pub(crate) struct EntryChoice {
    agent: AgentId,
    seeds: Vec<SocketAddr>,
    roster: Vec<SocketAddr>,
    suspects: BTreeMap<SocketAddr, Instant>,
    turn: usize,
}

impl EntryChoice {
    /// An agent that knows the entries of its settings only.
    pub(crate) fn new(agent: AgentId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            agent,
            seeds,
            roster: Vec::new(),
            suspects: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Takes in the roster from an entry's reply.
    pub(crate) fn set_roster(&mut self, roster: Vec<SocketAddr>) {
        if !roster.is_empty() {
            self.roster = roster;
        }
    }

    /// An entry didn't answer, or can't vouch for the configuration.
    pub(crate) fn mark_suspect(&mut self, now: Instant, entry: SocketAddr) {
        self.suspects.insert(entry, now);
    }

    /// An entry answered.
    pub(crate) fn clear_suspect(&mut self, entry: SocketAddr) {
        self.suspects.remove(&entry);
    }

    /// The entries to try for the next announcement, first to last.
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
        // A stable sort: suspects come last and are tried only when nobody else answers.
        order.sort_by_key(|entry| self.suspects.contains_key(entry));
        order
    }
}

pub(super) fn ranked(agent: AgentId, entries: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = entries.to_vec();
    ranked.sort_by_cached_key(|entry| std::cmp::Reverse(weight(agent, *entry)));
    ranked.dedup();
    ranked
}

fn weight(agent: AgentId, entry: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&agent.0.to_le_bytes());
    hasher.update(entry.to_string().as_bytes());
    let mut bytes = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
