//! A simulation of entries, the platform and faults, built on the production `ZoneGate`.
//!
//! Messages may be delivered, delayed or dropped; entries may be paused, killed, partitioned,
//! removed and added.

use {
    super::steps::Step,
    crate::core::{
        gate::{ChangeId, ChangeOutcome, ZoneGate},
        message::{Closing, GateStatus},
        ticket::AgentId,
        time::Instant,
    },
    proptest::{prelude::*, test_runner::TestCaseError},
    std::collections::{BTreeMap, BTreeSet},
};

const ZONE: &str = "keflavik";
/// Latest time after a closing at which a permit may be granted, in milliseconds.
const MAX_GRANT_DELAY_MS: u64 = 2_000;
/// Time after which the platform drops a write, in milliseconds.
pub(super) const WRITE_LIFETIME_MS: u64 = 30_000;
/// Time after a row's last write when other entries may remove it, in milliseconds.
const OUTAGE_LIMIT_MS: u64 = 6_000;

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) id: AgentId,
    pub(super) gate: ZoneGate,
    /// Monotonic clocks of different processes are unrelated.
    clock_offset_ms: u64,
    paused: bool,
    partitioned: bool,
    pub(super) alive: bool,
}

#[derive(Debug)]
pub(super) enum Message {
    Poll {
        entry: usize,
        requested_at: Instant,
        scan: Option<(BTreeSet<AgentId>, Instant)>,
        head: Option<u64>,
    },
    Query {
        from: usize,
        to: usize,
        requested_at: Instant,
        status: Option<GateStatus>,
    },
    Change {
        entry: usize,
        id: ChangeId,
        version: u64,
        open: bool,
        sent_ms: u64,
        outcome: Option<ChangeOutcome>,
        abandoned: bool,
    },
}

/// Entries, the platform and messages in flight.
#[derive(Debug, Default)]
pub(super) struct Simulation {
    pub(super) now_ms: u64,
    pub(super) platform_down: bool,
    /// Roster rows with the time of their last write.
    pub(super) rows: BTreeMap<AgentId, u64>,
    /// Whether the zone is open, by version; the last version is the platform's head.
    pub(super) versions: BTreeMap<u64, bool>,
    pub(super) closed_at_ms: Option<u64>,
    pub(super) entries: Vec<Entry>,
    pub(super) messages: Vec<Message>,
    pub(super) grants: usize,
    pub(super) grants_without_platform: usize,
}

impl Simulation {
    pub(super) fn new(entries: usize) -> Self {
        let mut simulation = Self::default();
        simulation.versions.insert(1, true);
        for _ in 0..entries {
            simulation.join();
        }
        simulation.synchronize();
        simulation
    }

    pub(super) fn head(&self) -> u64 {
        *self.versions.keys().next_back().expect("a version")
    }

    pub(super) fn clock(&self, entry: usize) -> Instant {
        Instant::from_millis(self.now_ms + self.entries[entry].clock_offset_ms)
    }

    pub(super) fn is_running(&self, entry: usize) -> bool {
        self.entries
            .get(entry)
            .is_some_and(|entry| entry.alive && !entry.paused)
    }

    pub(super) fn reaches_platform(&self, entry: usize) -> bool {
        !self.platform_down && self.entries[entry].alive && !self.entries[entry].partitioned
    }

    /// Starts an entry, whose row exists before it sends any message.
    fn join(&mut self) {
        let number = self.entries.len() as u64 + 1;
        if self.platform_down || number > 6 {
            return;
        }
        self.rows.insert(AgentId(number), self.now_ms);
        self.entries.push(Entry {
            id: AgentId(number),
            gate: ZoneGate::new(OUTAGE_LIMIT_MS),
            clock_offset_ms: number * 7_919,
            paused: false,
            partitioned: false,
            alive: true,
        });
        let entry = self.entries.len() - 1;
        let now = self.clock(entry);
        self.entries[entry].gate.record_row_written(now);
    }

    fn synchronize(&mut self) {
        for entry in 0..self.entries.len() {
            self.poll_now(entry);
        }
        for from in 0..self.entries.len() {
            for to in 0..self.entries.len() {
                self.query_now(from, to);
            }
        }
    }

    fn poll_now(&mut self, entry: usize) {
        let before = self.messages.len();
        self.poll(entry);
        self.complete(before);
    }

    fn query_now(&mut self, from: usize, to: usize) {
        let before = self.messages.len();
        self.query(from, to);
        self.complete(before);
    }

    fn poll(&mut self, entry: usize) {
        if self.is_running(entry) {
            let requested_at = self.clock(entry);
            self.messages.push(Message::Poll {
                entry,
                requested_at,
                scan: None,
                head: None,
            });
        }
    }

    fn query(&mut self, from: usize, to: usize) {
        let known = self.entries.get(from).zip(self.entries.get(to)).is_some();
        // Like the digest loop, an entry queries others only after it has read the roster.
        if from == to || !known || !self.is_running(from) || !self.has_read_roster(from) {
            return;
        }
        let requested_at = self.clock(from);
        self.messages.push(Message::Query {
            from,
            to,
            requested_at,
            status: None,
        });
    }

    fn has_read_roster(&self, entry: usize) -> bool {
        self.entries[entry].gate.knows_roster()
    }

    fn write_row(&mut self, entry: usize, acknowledged: bool) {
        if entry >= self.entries.len() || !self.is_running(entry) || !self.reaches_platform(entry) {
            return;
        }
        let (id, now) = (self.entries[entry].id, self.clock(entry));
        let Some(written_ms) = self.rows.get_mut(&id) else {
            self.entries[entry].gate.clear_roster();
            return;
        };
        *written_ms = self.now_ms;
        if acknowledged {
            self.entries[entry].gate.record_row_written(now);
        }
    }

    fn change(&mut self, entry: usize, open: bool) {
        if !self.is_running(entry) || !self.entries[entry].gate.is_known_to_all() {
            return;
        }
        let version = self.entries[entry].gate.status(Instant::default()).version + 1;
        let closing = if open {
            BTreeSet::new()
        } else {
            BTreeSet::from([Closing::Zone(ZONE.to_owned())])
        };
        let id = self.entries[entry].gate.begin_change(version, closing);
        let sent_ms = self.now_ms;
        self.messages.push(Message::Change {
            entry,
            id,
            version,
            open,
            sent_ms,
            outcome: None,
            abandoned: false,
        });
    }

    fn progress(&mut self, position: usize) {
        let mut message = self.messages.remove(position);
        let done = match &mut message {
            Message::Poll { .. } => self.progress_poll(&mut message),
            Message::Query { .. } => self.progress_query(&mut message),
            Message::Change { .. } => self.progress_change(&mut message),
        };
        if !done {
            self.messages.insert(position, message);
        }
    }

    /// Drops a message; a change's write may still take effect.
    fn drop_message(&mut self, position: usize) {
        let clocks: Vec<_> = (0..self.entries.len())
            .map(|entry| self.clock(entry))
            .collect();
        match &mut self.messages[position] {
            Message::Change {
                entry,
                id,
                abandoned,
                outcome,
                ..
            } if !*abandoned => {
                let now = clocks[*entry];
                self.entries[*entry]
                    .gate
                    .finish_change(now, *id, ChangeOutcome::MaybeApplied);
                *abandoned = true;
                if outcome.is_some() {
                    self.messages.remove(position);
                }
            }
            _ => {
                self.messages.remove(position);
            }
        }
    }

    /// Delivers the message at `position` through all its stages.
    fn complete(&mut self, position: usize) {
        for _ in 0..4 {
            if self.messages.len() > position {
                self.progress(position);
            }
        }
    }

    pub(super) fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance { ms } => self.now_ms += ms,
            Step::Poll { entry } => self.poll(entry),
            Step::Query { from, to } => self.query(from, to),
            Step::Change { entry, open } => self.change(entry, open),
            Step::Progress { message } if !self.messages.is_empty() => {
                self.progress(message % self.messages.len());
            }
            Step::DropMessage { message } if !self.messages.is_empty() => {
                self.drop_message(message % self.messages.len());
            }
            Step::Progress { .. } | Step::DropMessage { .. } => {}
            Step::SetPlatformDown { down } => self.platform_down = down,
            Step::Join => self.join(),
            Step::PollNow { entry } => self.poll_now(entry),
            Step::QueryNow { from, to } => self.query_now(from, to),
            Step::ChangeNow { entry, open } => {
                let before = self.messages.len();
                self.change(entry, open);
                if self.messages.len() > before {
                    self.progress(before);
                }
            }
            Step::WriteRow {
                entry,
                acknowledged,
            } => self.write_row(entry, acknowledged),
            Step::Synchronize => self.synchronize(),
            Step::Partition { entry, .. }
            | Step::Pause { entry, .. }
            | Step::Kill { entry }
            | Step::RemoveRow { entry } => self.inject_fault(entry, step),
        }
    }

    fn inject_fault(&mut self, entry: usize, step: &Step) {
        let Some(target) = self.entries.get_mut(entry) else {
            return;
        };
        match *step {
            Step::Partition { partitioned, .. } => target.partitioned = partitioned,
            Step::Pause { paused, .. } => target.paused = paused,
            Step::Kill { .. } => target.alive = false,
            Step::RemoveRow { .. } if !self.platform_down => {
                let now_ms = self.now_ms;
                let id = target.id;
                // A process restarted at the same address removes the dead one's row at once.
                let alive = target.alive;
                self.rows.retain(|row, written_ms| {
                    *row != id || (alive && now_ms - *written_ms < OUTAGE_LIMIT_MS)
                });
            }
            _ => {}
        }
    }

    /// Fails if an entry grants a permit in the zone too long after its closing.
    pub(super) fn check(&mut self) -> Result<(), TestCaseError> {
        for entry in 0..self.entries.len() {
            if !self.is_running(entry) {
                continue;
            }
            let now = self.clock(entry);
            let gate = &self.entries[entry].gate;
            let status = gate.status(now);
            let open = self.versions.get(&status.version).copied().unwrap_or(false);
            if !open || !gate.may_grant(now, ZONE, "w01") {
                continue;
            }
            self.grants += 1;
            self.grants_without_platform += usize::from(status.head_age_ms.is_none());
            if let Some(closed_at_ms) = self.closed_at_ms {
                let late_ms = self.now_ms - closed_at_ms;
                prop_assert!(
                    late_ms <= MAX_GRANT_DELAY_MS,
                    "entry {entry} grants {late_ms} ms after the closing: {gate:?}"
                );
            }
        }
        Ok(())
    }
}
