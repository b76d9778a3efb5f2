//! Selects entries by rendezvous hashing.

use {
    super::rendezvous_weight,
    crate::core::time::Instant,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Number of reachable entries that an agent selects.
///
/// Without a limit, sessions, heartbeats and capacity reports grow with the number of entries times
/// the number of agents.
pub(crate) const SELECTED_ENTRIES: usize = 12;
/// Time of failed connection attempts after which another entry is selected as well, in
/// milliseconds; longer than a process takes to restart.
const UNREACHABLE_AFTER_MS: u64 = 1_000;
/// Number of entries that an agent selects while it can't connect to any. Replacements don't help then,
/// and if all entries return at the same time, each of them costs sessions that are not needed.
pub(crate) const SELECTED_WHILE_ISOLATED: usize = 2 * SELECTED_ENTRIES;
/// Time without a connection after which more entries are selected nevertheless, in milliseconds; longer
/// than hosts take to restart.
const MAX_ISOLATION_MS: u64 = 10_000;
/// How long the session with an entry that is no longer selected stays in use, in milliseconds;
/// longer than a rolling restart keeps an entry away.
const RETIRE_DELAY_MS: u64 = 10_000;
/// Time of failed connection attempts after which an entry is stale, in milliseconds; longer than the
/// restart of a host takes.
const STALE_AFTER_MS: u64 = 600_000;

/// What an agent does about its session with one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SessionGoal {
    /// Connect, and reconnect when the session is lost.
    Maintain,
    /// Keep an open session, but don't connect again.
    Keep,
    /// End an open session once its runs have finished.
    Retire,
}

/// State of one entry that is or was listed.
#[derive(Debug)]
struct Candidate {
    rank: u64,
    listed: bool,
    /// Whether there is a session.
    is_connected: bool,
    /// Since when connection attempts have failed.
    failing_since: Option<Instant>,
    /// When the entry was last selected; `None` if never.
    selected_at: Option<Instant>,
}

impl Candidate {
    fn is_reachable(&self, now: Instant) -> bool {
        self.failing_since
            .is_none_or(|since| now.millis_since(since) < UNREACHABLE_AFTER_MS)
    }

    /// Whether connection attempts have failed for so long that the entry's host counts as replaced; the
    /// delay differs between agents.
    fn is_stale(&self, now: Instant) -> bool {
        let stale_after_ms = STALE_AFTER_MS + self.rank % STALE_AFTER_MS;
        self.failing_since
            .is_some_and(|since| now.millis_since(since) >= stale_after_ms)
    }
}

/// Selects the entries of one agent.
///
/// Agents rank the entries independently, so each entry is selected by about the same number of
/// agents, and adding or removing an entry changes few sessions.
#[derive(Debug)]
pub(crate) struct EntrySelection {
    agent: String,
    candidates: BTreeMap<SocketAddr, Candidate>,
    /// Since when there has been no session with any entry, if a connection attempt has failed or a
    /// session was lost.
    isolated_since: Option<Instant>,
}

impl EntrySelection {
    /// Creates a selection without entries.
    pub(crate) const fn new(agent: String) -> Self {
        Self {
            agent,
            candidates: BTreeMap::new(),
            isolated_since: None,
        }
    }

    /// Replaces the list of entries. Entries that are no longer listed keep their sessions.
    pub(crate) fn set_listed(&mut self, entries: &[SocketAddr]) {
        for candidate in self.candidates.values_mut() {
            candidate.listed = false;
        }
        for entry in entries {
            let candidate = self.candidates.entry(*entry).or_insert_with(|| Candidate {
                rank: rendezvous_weight(self.agent.as_bytes(), *entry),
                listed: true,
                is_connected: false,
                failing_since: None,
                selected_at: None,
            });
            candidate.listed = true;
        }
    }

    pub(crate) fn record_connected(&mut self, entry: SocketAddr) {
        if let Some(candidate) = self.candidates.get_mut(&entry) {
            candidate.failing_since = None;
            candidate.is_connected = true;
            self.isolated_since = None;
        }
    }

    /// Records that a connection attempt failed.
    pub(crate) fn record_failure(&mut self, now: Instant, entry: SocketAddr) {
        if let Some(candidate) = self.candidates.get_mut(&entry) {
            candidate.failing_since.get_or_insert(now);
        }
        self.record_session_lost(now, entry);
    }

    /// Records that there is no session with this entry.
    pub(crate) fn record_session_lost(&mut self, now: Instant, entry: SocketAddr) {
        if let Some(candidate) = self.candidates.get_mut(&entry) {
            candidate.is_connected = false;
        }
        if !self.candidates.values().any(|other| other.is_connected) {
            self.isolated_since.get_or_insert(now);
        }
    }

    /// Returns the selected entries that are stale; call it after [`Self::update`] at the same time.
    ///
    /// An entry is returned again after the same delay if it is still listed. The delay differs between
    /// agents, so that one of them usually acts for all. An agent that cannot reach most of its entries
    /// is partitioned itself and returns none.
    pub(crate) fn take_stale(&mut self, now: Instant) -> Vec<SocketAddr> {
        let candidates = self.candidates.iter_mut();
        let selected = candidates
            .filter(|(_, candidate)| candidate.listed && candidate.selected_at == Some(now));
        let (reachable, unreachable): (Vec<_>, Vec<_>) =
            selected.partition(|(_, candidate)| candidate.is_reachable(now));
        if unreachable.len() >= reachable.len() {
            return Vec::new();
        }
        let stale = unreachable
            .into_iter()
            .filter(|(_, candidate)| candidate.is_stale(now));
        stale
            .map(|(entry, candidate)| {
                candidate.failing_since = Some(now);
                *entry
            })
            .collect()
    }

    /// Selects entries in the order of their ranks until [`SELECTED_ENTRIES`] of them are
    /// reachable, and returns the goal for each entry that was selected at some time.
    ///
    /// Unreachable entries stay selected in addition, so that their sessions come back.
    pub(crate) fn update(&mut self, now: Instant) -> Vec<(SocketAddr, SessionGoal)> {
        let is_isolated = self
            .isolated_since
            .is_some_and(|since| now.millis_since(since) < MAX_ISOLATION_MS);
        let limit = if is_isolated {
            SELECTED_WHILE_ISOLATED
        } else {
            usize::MAX
        };
        let mut ranked: Vec<&mut Candidate> = self
            .candidates
            .values_mut()
            .filter(|candidate| candidate.listed)
            .collect();
        ranked.sort_by_key(|candidate| candidate.rank);
        let mut reachable = 0;
        for candidate in ranked.into_iter().take(limit) {
            if reachable == SELECTED_ENTRIES {
                break;
            }
            reachable += usize::from(candidate.is_reachable(now));
            candidate.selected_at = Some(now);
        }
        let candidates = self.candidates.iter();
        candidates
            .filter_map(|(entry, candidate)| Some((*entry, goal(now, candidate)?)))
            .collect()
    }
}

/// The goal for an entry's session; `None` if the entry was never selected.
fn goal(now: Instant, candidate: &Candidate) -> Option<SessionGoal> {
    let selected_at = candidate.selected_at?;
    let is_overdue = now.millis_since(selected_at) >= RETIRE_DELAY_MS;
    Some(match candidate.listed {
        true if selected_at == now => SessionGoal::Maintain,
        true if is_overdue => SessionGoal::Retire,
        // An entry that is shutting down leaves the list before it has finished its jobs.
        true | false => SessionGoal::Keep,
    })
}
