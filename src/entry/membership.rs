//! Entry membership: the roster, digests between entries, and configuration changes in flight.

use {
    super::{EntryState, InForce, entry_state::Inner},
    crate::{
        core::{
            config::Document,
            directory::AgentDigest,
            gate::{ChangeId, ChangeOutcome},
            message::{Announcement, Closing, Digest, DigestReply, GateNotice, PeerEntry},
            roster::{RosterRow, RosterScan, entry_key},
            ticket::AgentId,
            time::Instant,
        },
        ports::Check,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Time without contact after which an entry is left out of the agents' roster, in milliseconds.
const ENTRY_TIMEOUT_MS: u64 = 5_000;
/// Version of an entry's row, which is written only once.
const INITIAL_ROW_VERSION: u64 = 1;

/// A configuration change in flight; if dropped unmarked, its outcome counts as unknown.
///
/// A request's future is dropped when its client disconnects, but the write may still take effect.
#[derive(Debug)]
pub(crate) struct ChangeInFlight {
    state: Arc<EntryState>,
    id: ChangeId,
    outcome: ChangeOutcome,
}

impl ChangeInFlight {
    /// Records that the write has no effect and never will.
    pub(crate) fn mark_not_applied(mut self) {
        self.outcome = ChangeOutcome::NotApplied;
    }
}

impl Drop for ChangeInFlight {
    fn drop(&mut self) {
        let now = self.state.timer.now();
        self.state
            .lock()
            .gate
            .finish_change(now, self.id, self.outcome);
        self.state.digest_wakeup.notify_one();
    }
}

impl Inner {
    /// Returns the version in force and whether tasks may start at the announcing worker.
    pub(super) fn gate_decision(&self, announcement: &Announcement) -> (u64, bool) {
        let Some(in_force) = &self.in_force else {
            return (0, false);
        };
        let zone = &announcement.availability_zone;
        let is_open = in_force.document.worker_is_open(&announcement.worker, zone)
            && !self.gate.is_closing(zone, &announcement.worker);
        (in_force.head.version, is_open)
    }

    /// Returns this entry and the other entries alive.
    pub(super) fn roster_for_agents(&self, now: Instant) -> Vec<PeerEntry> {
        let is_alive = |entry: &PeerEntry| {
            self.last_heard
                .get(&entry.entry)
                .is_some_and(|at| now.millis_since(*at) < ENTRY_TIMEOUT_MS)
        };
        let mut roster: Vec<PeerEntry> = self
            .roster
            .others(self.local_entry.entry)
            .filter(|entry| is_alive(entry))
            .cloned()
            .collect();
        roster.push(self.local_entry.clone());
        roster.sort();
        roster
    }
}

impl EntryState {
    /// Returns this entry's own roster entry.
    pub(crate) fn local_entry(&self) -> PeerEntry {
        self.lock().local_entry.clone()
    }

    /// Returns this entry's roster row.
    pub(crate) fn roster_row(&self) -> RosterRow {
        RosterRow {
            entry: self.local_entry(),
            outage_limit_ms: self.outage_limit_ms,
        }
    }

    /// Changes the identity after the rows of the old one were removed.
    ///
    /// A change begun under the old identity then fails the check of its roster row.
    pub(crate) fn renew_identity(&self, identity: AgentId) {
        let mut inner = self.lock();
        inner.local_entry.entry = identity;
        inner.gate.clear_roster();
    }

    /// Records that this entry's row was written by a call sent at `sent_at`.
    pub(crate) fn record_row_written(&self, sent_at: Instant) {
        self.lock().gate.record_row_written(sent_at);
    }

    /// Applies a scan of the roster, requested at `requested_at` and before the head row was read.
    pub(crate) fn apply_roster_scan(
        &self,
        requested_at: Instant,
        rows: Vec<RosterRow>,
        heartbeats: &BTreeMap<String, u64>,
    ) -> RosterScan {
        let now = self.timer.now();
        let mut inner = self.lock();
        let local_entry = inner.local_entry.clone();
        let scan = inner.roster.apply_scan(now, &local_entry, rows, heartbeats);
        if scan.own_row_exists {
            let others: BTreeSet<AgentId> = inner
                .roster
                .others(local_entry.entry)
                .map(|other| other.entry)
                .collect();
            inner.gate.record_roster_read(requested_at, &others);
        }
        scan
    }

    /// Returns the other entries; empty until this one is registered.
    pub(crate) fn other_entries(&self) -> Vec<PeerEntry> {
        let inner = self.lock();
        if !inner.gate.knows_roster() {
            return Vec::new();
        }
        inner
            .roster
            .others(inner.local_entry.entry)
            .cloned()
            .collect()
    }

    /// Returns the number of entries, including this one; `None` until the roster was read.
    pub(crate) fn entry_count(&self) -> Option<u64> {
        let inner = self.lock();
        let count = inner.roster.others(inner.local_entry.entry).count() as u64 + 1;
        inner.gate.knows_roster().then_some(count)
    }

    /// Builds the digest for another entry.
    pub(crate) fn build_digest(&self, peer: AgentId) -> (Digest, AgentDigest) {
        let now = self.timer.now();
        let mut inner = self.lock();
        let Inner {
            digests, directory, ..
        } = &mut *inner;
        let mut agent_digest = digests.build_digest(now, peer, directory);
        let digest = Digest {
            from: inner.local_entry.clone(),
            version: inner.gate.status(now).version,
            reports: std::mem::take(&mut agent_digest.reports),
            beats: std::mem::take(&mut agent_digest.heartbeats),
        };
        (digest, agent_digest)
    }

    /// Handles another entry's digest.
    pub(crate) fn handle_digest(&self, digest: Digest) -> DigestReply {
        let now = self.timer.now();
        let mut inner = self.lock();
        let from = digest.from.entry;
        inner.gate.add_member(now, from);
        inner.last_heard.insert(from, now);
        inner
            .roster
            .add_announced(now, digest.from, self.outage_limit_ms);
        for report in digest.reports {
            if report.announcement.leaving {
                inner.tickets.remove_grant(report.announcement.agent);
            }
            inner.directory.record_report(now, from, report);
        }
        let unknown = digest
            .beats
            .into_iter()
            .filter(|heartbeat| !inner.directory.record_heartbeat(now, from, *heartbeat))
            .map(|heartbeat| heartbeat.index)
            .collect();
        let status = inner.gate.status(now);
        if digest.version > status.version {
            self.digest_wakeup.notify_one();
        }
        DigestReply {
            entry: inner.local_entry.entry,
            status,
            unknown,
        }
    }

    /// Handles the reply to the digest sent at `requested_at`; returns whether the other entry has
    /// a newer configuration.
    pub(crate) fn handle_digest_reply(
        &self,
        requested_at: Instant,
        agent_digest: &AgentDigest,
        reply: &DigestReply,
    ) -> bool {
        let now = self.timer.now();
        let mut inner = self.lock();
        inner.last_heard.insert(reply.entry, now);
        inner
            .digests
            .confirm(reply.entry, agent_digest, &reply.unknown);
        inner
            .gate
            .record_status(requested_at, reply.entry, reply.status.clone());
        reply.status.version > inner.gate.status(now).version
    }

    /// Records that a change is about to be written; `None` while others don't know this entry.
    pub(crate) fn begin_change(
        self: &Arc<Self>,
        version: u64,
        document: &Document,
    ) -> Option<(ChangeInFlight, Check)> {
        let mut inner = self.lock();
        if !inner.gate.is_known_to_all() {
            return None;
        }
        let closing = closing(inner.in_force.as_ref(), document);
        let id = inner.gate.begin_change(version, closing);
        let check = Check {
            key: entry_key(inner.local_entry.entry),
            version: INITIAL_ROW_VERSION,
        };
        let change = ChangeInFlight {
            state: Arc::clone(self),
            id,
            outcome: ChangeOutcome::MaybeApplied,
        };
        Some((change, check))
    }

    /// Returns the notices for agents that announce themselves to this entry and whose worker the
    /// change from `before` opens or closes.
    pub(crate) fn gate_notices(&self, before: Option<&InForce>) -> Vec<(SocketAddr, GateNotice)> {
        let now = self.timer.now();
        let inner = self.lock();
        let was_open = |announcement: &Announcement| {
            before.is_some_and(|before| {
                before
                    .document
                    .worker_is_open(&announcement.worker, &announcement.availability_zone)
            })
        };
        inner
            .directory
            .announced_here(now, None)
            .map(|view| &view.announcement)
            .filter_map(|announcement| {
                let (config_version, zone_open) = inner.gate_decision(announcement);
                let notice = GateNotice {
                    config_version,
                    zone_open,
                };
                (zone_open != was_open(announcement)).then_some((announcement.peer_addr, notice))
            })
            .collect()
    }
}

/// Returns the zones and workers where tasks may start now but not after the change.
fn closing(in_force: Option<&InForce>, document: &Document) -> BTreeSet<Closing> {
    let Some(in_force) = in_force else {
        return BTreeSet::new();
    };
    let before = &in_force.document;
    let zones = before
        .zones
        .keys()
        .filter(|zone| before.zone_is_open(zone) && !document.zone_is_open(zone))
        .map(|zone| Closing::Zone(zone.clone()));
    let workers = before
        .workers
        .iter()
        .filter(|(name, worker)| {
            before.zone_is_open(&worker.availability_zone)
                && !document.worker_is_open(name, &worker.availability_zone)
        })
        .map(|(name, _)| Closing::Worker(name.clone()));
    zones.chain(workers).collect()
}
