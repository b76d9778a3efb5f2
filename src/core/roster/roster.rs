//! An entry's view of the roster.

use {
    super::{RosterRow, entry_key, heartbeat_key},
    crate::core::{message::PeerEntry, ticket::AgentId, time::Instant},
    std::collections::BTreeMap,
};

/// Time between two scans after which heartbeat timeouts restart, in milliseconds; no entry can
/// write heartbeats during an outage of the platform.
const SCAN_GAP_MS: u64 = 10_000;
/// The timeout is extended by this fraction of the limit, to allow for clock drift.
const CLOCK_MARGIN_DIVISOR: u64 = 20;

#[derive(Debug)]
struct RosterEntry {
    row: RosterRow,
    heartbeat_version: u64,
    /// When a scan first read the heartbeat row at this version.
    heartbeat_seen_at: Instant,
}

/// Result of a scan of all rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RosterScan {
    pub(crate) own_row_exists: bool,
    /// Entries whose rows must be removed, with the last read version of the heartbeat row.
    pub(crate) expired: Vec<(AgentId, u64)>,
}

/// The entries on the roster.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: BTreeMap<AgentId, RosterEntry>,
    last_scan_at: Option<Instant>,
}

impl Roster {
    /// Replaces the roster by the scanned rows; `local` is this entry.
    ///
    /// Another entry expires when its heartbeat row is unchanged for longer than it may grant
    /// permits without the platform. It expires at once if it has the address of this entry: the
    /// process that listened there has stopped.
    pub(crate) fn apply_scan(
        &mut self,
        now: Instant,
        local: &PeerEntry,
        rows: Vec<RosterRow>,
        heartbeats: &BTreeMap<String, u64>,
    ) -> RosterScan {
        let is_gap_exceeded = self
            .last_scan_at
            .is_none_or(|at| now.millis_since(at) >= SCAN_GAP_MS);
        self.last_scan_at = Some(now);
        let mut entries = BTreeMap::new();
        for row in rows {
            let entry = row.entry.entry;
            let heartbeat_version = heartbeats.get(&heartbeat_key(entry)).copied().unwrap_or(0);
            let heartbeat_seen_at = self
                .entries
                .get(&entry)
                .filter(|known| known.heartbeat_version == heartbeat_version && !is_gap_exceeded)
                .map_or(now, |known| known.heartbeat_seen_at);
            let known = RosterEntry {
                row,
                heartbeat_version,
                heartbeat_seen_at,
            };
            entries.insert(entry, known);
        }
        self.entries = entries;
        RosterScan {
            own_row_exists: self.entries.contains_key(&local.entry),
            expired: self.expired(now, local),
        }
    }

    fn expired(&self, now: Instant, local: &PeerEntry) -> Vec<(AgentId, u64)> {
        self.entries
            .values()
            .filter(|known| known.row.entry.entry != local.entry)
            .filter(|known| {
                let limit_ms = known.row.outage_limit_ms;
                let stale_ms = now.millis_since(known.heartbeat_seen_at);
                known.row.entry.peer_addr == local.peer_addr
                    || stale_ms >= limit_ms + limit_ms / CLOCK_MARGIN_DIVISOR
            })
            .map(|known| (known.row.entry.entry, known.heartbeat_version))
            .collect()
    }

    /// Returns the keys of the two rows of an entry.
    pub(crate) fn row_keys(entry: AgentId) -> [String; 2] {
        [entry_key(entry), heartbeat_key(entry)]
    }

    /// All entries except `local`.
    pub(crate) fn others(&self, local: AgentId) -> impl Iterator<Item = &PeerEntry> {
        self.entries
            .values()
            .map(|known| &known.row.entry)
            .filter(move |entry| entry.entry != local)
    }

    /// Adds an entry that announced itself before its row was read.
    pub(crate) fn add_announced(&mut self, now: Instant, entry: PeerEntry, outage_limit_ms: u64) {
        self.entries.entry(entry.entry).or_insert(RosterEntry {
            row: RosterRow {
                entry,
                outage_limit_ms,
            },
            heartbeat_version: 0,
            heartbeat_seen_at: now,
        });
    }
}
