//! What an entry knows of the other entries, and what it may vouch for.

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

/// Silence after which agents are no longer told of an entry, in milliseconds.
const ENTRY_SILENT_MS: u64 = 5_000;
/// Version of an entry's own row: it is written once.
const ENTRY_ROW_VERSION: u64 = 1;

/// A change of the configuration under way; an abandoned one counts as of unknown outcome.
///
/// Guards against a caller that hangs up while its change is being written: the handler is
/// dropped, the write may land all the same, and nobody would read what became of it.
#[derive(Debug)]
pub(crate) struct ChangeInFlight {
    state: Arc<EntryState>,
    id: ChangeId,
    end: ChangeOutcome,
}

impl ChangeInFlight {
    /// The write certainly did not take effect and never will.
    pub(crate) fn refused(mut self) {
        self.end = ChangeOutcome::NotApplied;
    }
}

impl Drop for ChangeInFlight {
    fn drop(&mut self) {
        let now = self.state.timer.now();
        self.state.lock().gate.finish_change(now, self.id, self.end);
        self.state.tell_entries.notify_one();
    }
}

impl Inner {
    /// The version held, and whether tasks may start at the worker that announces itself.
    pub(super) fn verdict_on(&self, announcement: &Announcement) -> (u64, bool) {
        let Some(in_force) = &self.in_force else {
            return (0, false);
        };
        let zone = &announcement.availability_zone;
        let is_open = in_force.document.worker_is_open(&announcement.worker, zone)
            && !self.gate.is_closing(zone, &announcement.worker);
        (in_force.head.version, is_open)
    }

    /// This entry and those heard lately.
    pub(super) fn roster_for_agents(&self, now: Instant) -> Vec<PeerEntry> {
        let is_heard = |entry: &PeerEntry| {
            self.heard_from
                .get(&entry.entry)
                .is_some_and(|at| now.millis_since(*at) < ENTRY_SILENT_MS)
        };
        let mut roster: Vec<PeerEntry> = self
            .roster
            .others(self.me.entry)
            .filter(|entry| is_heard(entry))
            .cloned()
            .collect();
        roster.push(self.me.clone());
        roster.sort();
        roster
    }
}

impl EntryState {
    /// This entry as it stands on the roster.
    pub(crate) fn me(&self) -> PeerEntry {
        self.lock().me.clone()
    }

    /// The row by which this entry stands on the roster.
    pub(crate) fn roster_row(&self) -> RosterRow {
        RosterRow {
            entry: self.me(),
            outage_limit_ms: self.outage_limit_ms,
        }
    }

    /// Takes a new identity, as the rows of the old one were removed.
    ///
    /// Guards against a change begun under the old one that lands under the new one's row.
    pub(crate) fn renew_identity(&self, identity: AgentId) {
        let mut inner = self.lock();
        inner.me.entry = identity;
        inner.gate.clear_roster();
    }

    /// This entry's row was written by a call sent at `sent_at`.
    pub(crate) fn row_written(&self, sent_at: Instant) {
        self.lock().gate.record_row_written(sent_at);
    }

    /// Takes in the rows of the roster, scanned at `asked_at`, before the head row was read.
    pub(crate) fn roster_read(
        &self,
        asked_at: Instant,
        rows: Vec<RosterRow>,
        beats: &BTreeMap<String, u64>,
    ) -> RosterScan {
        let now = self.timer.now();
        let mut inner = self.lock();
        let me = inner.me.clone();
        let survey = inner.roster.apply_scan(now, &me, rows, beats);
        if survey.own_row_exists {
            let others: BTreeSet<AgentId> = inner
                .roster
                .others(me.entry)
                .map(|other| other.entry)
                .collect();
            inner.gate.record_roster_read(asked_at, &others);
        }
        survey
    }

    /// The other entries, once this one stands on the roster.
    pub(crate) fn other_entries(&self) -> Vec<PeerEntry> {
        let inner = self.lock();
        if !inner.gate.knows_roster() {
            return Vec::new();
        }
        inner.roster.others(inner.me.entry).cloned().collect()
    }

    /// How many entries there are, this one included; `None` until the roster was read.
    pub(crate) fn entry_count(&self) -> Option<u64> {
        let inner = self.lock();
        let count = inner.roster.others(inner.me.entry).count() as u64 + 1;
        inner.gate.knows_roster().then_some(count)
    }

    /// What to tell another entry now.
    pub(crate) fn digest_for(&self, peer: AgentId) -> (Digest, AgentDigest) {
        let now = self.timer.now();
        let mut inner = self.lock();
        let Inner {
            digests, directory, ..
        } = &mut *inner;
        let mut telling = digests.build_digest(now, peer, directory);
        let digest = Digest {
            from: inner.me.clone(),
            version: inner.gate.status(now).version,
            reports: std::mem::take(&mut telling.reports),
            beats: std::mem::take(&mut telling.heartbeats),
        };
        (digest, telling)
    }

    /// Takes another entry's digest in and answers it.
    pub(crate) fn digest(&self, digest: Digest) -> DigestReply {
        let now = self.timer.now();
        let mut inner = self.lock();
        let from = digest.from.entry;
        inner.gate.add_member(now, from);
        inner.heard_from.insert(from, now);
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
            .filter(|beat| !inner.directory.record_heartbeat(now, from, *beat))
            .map(|beat| beat.index)
            .collect();
        let status = inner.gate.status(now);
        if digest.version > status.version {
            self.tell_entries.notify_one();
        }
        DigestReply {
            entry: inner.me.entry,
            status,
            unknown,
        }
    }

    /// Takes in an entry's answer to the digest sent at `asked_at`; true if it holds a newer
    /// configuration than this one.
    pub(crate) fn digest_answered(
        &self,
        asked_at: Instant,
        telling: &AgentDigest,
        reply: &DigestReply,
    ) -> bool {
        let now = self.timer.now();
        let mut inner = self.lock();
        inner.heard_from.insert(reply.entry, now);
        inner.digests.confirm(reply.entry, telling, &reply.unknown);
        inner
            .gate
            .record_status(asked_at, reply.entry, reply.status.clone());
        reply.status.version > inner.gate.status(now).version
    }

    /// Notes that a change is about to be written; `None` while others don't know this entry.
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
            key: entry_key(inner.me.entry),
            version: ENTRY_ROW_VERSION,
        };
        let change = ChangeInFlight {
            state: Arc::clone(self),
            id,
            end: ChangeOutcome::MaybeApplied,
        };
        Some((change, check))
    }

    /// What agents heard here are to be told after the configuration changed from `before`.
    pub(crate) fn gate_notices(&self, before: Option<&InForce>) -> Vec<(SocketAddr, GateNotice)> {
        let now = self.timer.now();
        let inner = self.lock();
        let was_open = |said: &Announcement| {
            before.is_some_and(|before| {
                before
                    .document
                    .worker_is_open(&said.worker, &said.availability_zone)
            })
        };
        inner
            .directory
            .announced_here(now, None)
            .map(|view| &view.announcement)
            .filter_map(|said| {
                let (config_version, zone_open) = inner.verdict_on(said);
                let notice = GateNotice {
                    config_version,
                    zone_open,
                };
                (zone_open != was_open(said)).then_some((said.peer_addr, notice))
            })
            .collect()
    }
}

/// Where tasks may start now and no longer after the change.
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
