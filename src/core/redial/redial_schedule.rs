//! Schedule of an agent's dials.

use {
    super::{DialOutcome, dial_budget::DialBudget},
    crate::core::time::Instant,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Range of the random time, in milliseconds.
type DelayRangeMs = (u64, u64);

/// Time from the start of a refused dial to the next one. The host runs and the process is expected
/// soon; a refused dial costs both sides two packets.
const REFUSED_INTERVAL_MS: DelayRangeMs = (60, 140);
/// Time from the end of a dial without a response to the next one. A host that returns during the
/// dial has to wait for its timeout as well.
const NO_RESPONSE_DELAY_MS: DelayRangeMs = (20, 80);
/// Time of failed dials after which an address is dialled rarely; longer than a host takes to restart.
const LOST_AFTER_MS: u64 = 5_000;
/// The same delays for an address that is dialled rarely.
const LOST_REFUSED_INTERVAL_MS: DelayRangeMs = (300, 500);
const LOST_NO_RESPONSE_DELAY_MS: DelayRangeMs = (1_500, 2_500);
/// Time without any session after which the agent itself counts as isolated.
const ISOLATED_AFTER_MS: u64 = 1_000;
/// Delay of the dials that follow the first connection of an agent that was isolated.
const REJOIN_DELAY_MS: DelayRangeMs = (0, 50);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DialState {
    /// The next dial begins when it is due.
    Waiting,
    /// A dial or a session is open.
    Open { connected: bool },
}

/// State of one address.
#[derive(Debug)]
struct Target {
    /// Addresses are numbered in the order in which they were added.
    number: u64,
    /// Whether a session is to be maintained.
    is_wanted: bool,
    state: DialState,
    due_at: Instant,
    dialled_at: Option<Instant>,
    /// Since when dials have failed.
    failing_since: Option<Instant>,
}

impl Target {
    fn is_due(&self, now: Instant) -> bool {
        self.is_wanted && self.state == DialState::Waiting && self.due_at <= now
    }
}

/// Decides when the agent dials which address.
///
/// An address has at most one open dial or session. A lost session is dialled again at once, and
/// each further dial depends on the outcome of the one before it. The number of dials is limited
/// over all addresses; if the limit is reached, addresses without a failed dial come first, then
/// those that were added first, so that replacements of unreachable entries don't delay the dials of
/// the preferred ones.
#[derive(Debug)]
pub(crate) struct RedialSchedule {
    targets: BTreeMap<SocketAddr, Target>,
    last_number: u64,
    budget: DialBudget,
    /// Since when there has been no session; `None` while there is one.
    isolated_since: Option<Instant>,
    /// When the agent was last connected again after it had been isolated.
    rejoined_at: Option<Instant>,
    rng: ChaCha8Rng,
}

impl RedialSchedule {
    /// Creates a schedule without addresses. The seed differs between agents, so that they dial at
    /// different times.
    pub(crate) fn new(now: Instant, seed: u64) -> Self {
        Self {
            targets: BTreeMap::new(),
            last_number: 0,
            budget: DialBudget::default(),
            isolated_since: Some(now),
            rejoined_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Dials this address until it connects, and again whenever its session is lost.
    pub(crate) fn maintain(&mut self, now: Instant, entry: SocketAddr) {
        if let Some(target) = self.targets.get_mut(&entry) {
            target.is_wanted = true;
            return;
        }
        self.last_number += 1;
        let target = Target {
            number: self.last_number,
            is_wanted: true,
            state: DialState::Waiting,
            due_at: now,
            dialled_at: None,
            failing_since: None,
        };
        self.targets.insert(entry, target);
    }

    /// Doesn't dial this address again; an open dial or session continues.
    pub(crate) fn release(&mut self, entry: SocketAddr) {
        if let Some(target) = self.targets.get_mut(&entry) {
            target.is_wanted = false;
        }
        self.remove_unneeded(entry);
    }

    /// Records the outcome of a dial.
    pub(crate) fn record_dial(&mut self, now: Instant, entry: SocketAddr, outcome: DialOutcome) {
        let Some(target) = self.targets.get_mut(&entry) else {
            return;
        };
        if outcome == DialOutcome::Connected {
            target.state = DialState::Open { connected: true };
            target.failing_since = None;
            self.record_connected(now);
            return;
        }
        target.state = DialState::Waiting;
        let failing_since = *target.failing_since.get_or_insert(now);
        let dialled_at = target.dialled_at.unwrap_or(now);
        // A dial that began while the agent was isolated shows nothing about the entry.
        let began_isolated = self.rejoined_at.is_some_and(|at| dialled_at <= at);
        let is_lost = now.millis_since(failing_since) >= LOST_AFTER_MS && !began_isolated;
        let (from, delay) = match (outcome, is_lost) {
            (DialOutcome::NoResponse, false) => (now, NO_RESPONSE_DELAY_MS),
            (DialOutcome::NoResponse, true) => (now, LOST_NO_RESPONSE_DELAY_MS),
            (_, false) => (dialled_at, REFUSED_INTERVAL_MS),
            (_, true) => (dialled_at, LOST_REFUSED_INTERVAL_MS),
        };
        target.due_at = from.plus_ms(random_ms(&mut self.rng, delay));
        self.remove_unneeded(entry);
    }

    /// Records that a session was lost and that no run of it is left.
    ///
    /// The next dial is due at once unless the session was opened a moment ago: a process that closes
    /// each session must not be dialled in a tight loop.
    pub(crate) fn record_session_lost(&mut self, now: Instant, entry: SocketAddr) {
        let Some(target) = self.targets.get_mut(&entry) else {
            return;
        };
        target.state = DialState::Waiting;
        let interval_ms = random_ms(&mut self.rng, REFUSED_INTERVAL_MS);
        let dialled_at = target.dialled_at.unwrap_or(now);
        target.due_at = now.max(dialled_at.plus_ms(interval_ms));
        self.remove_unneeded(entry);
        if !self.has_session() {
            self.isolated_since.get_or_insert(now);
        }
    }

    /// Returns the addresses whose dials begin now.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let targets = self.targets.iter();
        let mut due: Vec<(bool, u64, SocketAddr)> = targets
            .filter(|(_, target)| target.is_due(now))
            .map(|(entry, target)| (target.failing_since.is_some(), target.number, *entry))
            .collect();
        due.sort_unstable();
        let mut dials = Vec::new();
        for (_, _, entry) in due {
            if !self.budget.try_take(now) {
                break;
            }
            if let Some(target) = self.targets.get_mut(&entry) {
                target.state = DialState::Open { connected: false };
                target.dialled_at = Some(now);
            }
            dials.push(entry);
        }
        dials
    }

    /// When [`Self::take_due`] will next return an address without further events; `None` if never.
    pub(crate) fn next_due_at(&self) -> Option<Instant> {
        let targets = self.targets.values();
        let waiting =
            targets.filter(|target| target.is_wanted && target.state == DialState::Waiting);
        let due_at = waiting.map(|target| target.due_at).min()?;
        Some(due_at.max(self.budget.available_at()))
    }

    /// Dials all unreachable addresses if the agent was isolated until now.
    ///
    /// While its own host is cut off, all addresses count as lost, although they may be reachable as
    /// soon as the first one is.
    fn record_connected(&mut self, now: Instant) {
        let Some(isolated_since) = self.isolated_since.take() else {
            return;
        };
        if now.millis_since(isolated_since) < ISOLATED_AFTER_MS {
            return;
        }
        self.rejoined_at = Some(now);
        for target in self.targets.values_mut() {
            let rejoin_at = now.plus_ms(random_ms(&mut self.rng, REJOIN_DELAY_MS));
            target.due_at = target.due_at.min(rejoin_at);
        }
    }

    fn has_session(&self) -> bool {
        let connected = DialState::Open { connected: true };
        self.targets
            .values()
            .any(|target| target.state == connected)
    }

    fn remove_unneeded(&mut self, entry: SocketAddr) {
        let is_unneeded = |target: &Target| !target.is_wanted && target.state == DialState::Waiting;
        if self.targets.get(&entry).is_some_and(is_unneeded) {
            self.targets.remove(&entry);
        }
    }
}

fn random_ms(rng: &mut ChaCha8Rng, (min_ms, max_ms): DelayRangeMs) -> u64 {
    rng.random_range(min_ms..=max_ms)
}
