//! The roster as one entry reads it.

use {
    super::{RosterRow, beat_key, entry_key},
    crate::core::{message::PeerEntry, ticket::AgentId, time::Instant},
    std::collections::BTreeMap,
};

/// Silence of the platform after which beats are timed anew, in milliseconds.
///
/// Guards against a stampede of removals after an outage: nobody could write a beat meanwhile.
const SURVEY_GAP_MS: u64 = 10_000;
/// Room for clocks that run at different speeds: a twentieth of the limit.
const CLOCK_MARGIN_DIVISOR: u64 = 20;

#[derive(Debug)]
struct Listed {
    row: RosterRow,
    beat_version: u64,
    /// When the beat row was first seen at this version.
    beat_seen_at: Instant,
}

/// What a reading of all rows showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RosterScan {
    /// Whether this entry's own row stands.
    pub(crate) own_row_stands: bool,
    /// Entries whose rows are to be removed, with the version of the beat row last seen.
    pub(crate) gone: Vec<(AgentId, u64)>,
}

/// The entries on the roster.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    listed: BTreeMap<AgentId, Listed>,
    surveyed_at: Option<Instant>,
}

impl Roster {
    /// Takes in all rows; `me` is this entry.
    ///
    /// Rows of others go when their beat has stood still for longer than they may grant
    /// permits without the platform, or at once when they name this entry's own address: the
    /// process that listened there must be gone, as this one does now.
    pub(crate) fn apply_scan(
        &mut self,
        now: Instant,
        me: &PeerEntry,
        rows: Vec<RosterRow>,
        beats: &BTreeMap<String, u64>,
    ) -> RosterScan {
        let is_late = self
            .surveyed_at
            .is_none_or(|at| now.millis_since(at) >= SURVEY_GAP_MS);
        self.surveyed_at = Some(now);
        let mut listed = BTreeMap::new();
        for row in rows {
            let entry = row.entry.entry;
            let beat_version = beats.get(&beat_key(entry)).copied().unwrap_or(0);
            let beat_seen_at = self
                .listed
                .get(&entry)
                .filter(|known| known.beat_version == beat_version && !is_late)
                .map_or(now, |known| known.beat_seen_at);
            let known = Listed {
                row,
                beat_version,
                beat_seen_at,
            };
            listed.insert(entry, known);
        }
        self.listed = listed;
        RosterScan {
            own_row_stands: self.listed.contains_key(&me.entry),
            gone: self.gone(now, me),
        }
    }

    fn gone(&self, now: Instant, me: &PeerEntry) -> Vec<(AgentId, u64)> {
        self.listed
            .values()
            .filter(|listed| listed.row.entry.entry != me.entry)
            .filter(|listed| {
                let limit_ms = listed.row.outage_limit_ms;
                let silent_ms = now.millis_since(listed.beat_seen_at);
                listed.row.entry.peer_addr == me.peer_addr
                    || silent_ms >= limit_ms + limit_ms / CLOCK_MARGIN_DIVISOR
            })
            .map(|listed| (listed.row.entry.entry, listed.beat_version))
            .collect()
    }

    /// Keys of the two rows of an entry.
    pub(crate) fn keys(entry: AgentId) -> [String; 2] {
        [entry_key(entry), beat_key(entry)]
    }

    /// All entries but `me`.
    pub(crate) fn others(&self, me: AgentId) -> impl Iterator<Item = &PeerEntry> {
        self.listed
            .values()
            .map(|listed| &listed.row.entry)
            .filter(move |entry| entry.entry != me)
    }

    /// An entry made itself known before its row was read.
    pub(crate) fn add_announced(&mut self, now: Instant, entry: PeerEntry, outage_limit_ms: u64) {
        self.listed.entry(entry.entry).or_insert(Listed {
            row: RosterRow {
                entry,
                outage_limit_ms,
            },
            beat_version: 0,
            beat_seen_at: now,
        });
    }
}
