//! Reads of the evacuated zones, and by holders of the document, while no entry can read them.

use {
    super::{ExecutionAction, ExecutionLogEvent, Executor},
    crate::core::{link::EvacuatedZones, time::Instant},
};

/// Age of the latest read at which the agent reads the zones itself, in milliseconds. Entries read them
/// every two seconds, and a zone must be out of use five seconds after the operator's write.
const MAX_ZONES_AGE_MS: u64 = 3_000;
/// Agents that lose the same entry spread their reads over this time, in milliseconds.
const READ_SPREAD_MS: u64 = 500;
/// Delay after the first failed read, doubled with each further one, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 500;
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// When the zones were last read, by an entry or by this agent.
#[derive(Debug)]
pub(super) struct ZoneReads {
    /// The store had no zones but the known ones at this time; `None` if nobody has read them.
    read_at: Option<Instant>,
    max_age_ms: u64,
    /// When the read under way was requested.
    requested_at: Option<Instant>,
    retry_at: Instant,
    retry_delay_ms: u64,
    /// Reads since the zones were outdated; zero while an entry reads them.
    reads: u64,
    failed_reads: u64,
}

impl ZoneReads {
    /// Starts without a read; `agent` determines the agent's place in the spread of reads.
    pub(super) fn for_agent(agent: &str) -> Self {
        let hash = blake3::hash(agent.as_bytes());
        let place = u64::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]));
        Self {
            read_at: None,
            max_age_ms: MAX_ZONES_AGE_MS + place % READ_SPREAD_MS,
            requested_at: None,
            retry_at: Instant::default(),
            retry_delay_ms: INITIAL_RETRY_DELAY_MS,
            reads: 0,
            failed_reads: 0,
        }
    }

    fn are_outdated(&self, now: Instant) -> bool {
        self.read_at
            .is_none_or(|at| now.millis_since(at) >= self.max_age_ms)
    }

    fn is_read_due(&self, now: Instant) -> bool {
        self.requested_at.is_none() && now >= self.retry_at && self.are_outdated(now)
    }
}

impl Executor {
    /// Records that an entry has read the zones, by a heartbeat that echoes this agent's timestamp.
    ///
    /// Counted from that timestamp, the age can't be too low if the heartbeat was delayed.
    pub(super) fn record_entry_read(&mut self, now: Instant, echo_us: u64, age_ms: Option<u64>) {
        let Some(age_ms) = age_ms else {
            return;
        };
        let echoed_at = Instant::from_micros(echo_us.min(now.as_micros()));
        self.zone_reads.read_at = self
            .zone_reads
            .read_at
            .max(Some(echoed_at.minus_ms(age_ms)));
        if self.zone_reads.reads == 0 || age_ms >= MAX_ZONES_AGE_MS {
            return;
        }
        let version = self.zones_version();
        self.log_event(ExecutionLogEvent::ZonesConfirmed {
            version,
            reads: self.zone_reads.reads,
            failed_reads: self.zone_reads.failed_reads,
        });
        self.zone_reads.reads = 0;
        self.zone_reads.failed_reads = 0;
        self.zone_reads.retry_at = now;
        self.zone_reads.retry_delay_ms = INITIAL_RETRY_DELAY_MS;
    }

    /// Requests a read of outdated zones if entries may order starts.
    ///
    /// The store may serve this agent while it turns away all its entries. Starts go on meanwhile: if
    /// the store serves nobody, nobody can know more.
    pub(super) fn read_outdated_zones(&mut self, now: Instant) {
        let may_start = self.sessions.values().any(|link| now < link.lease_until);
        if !may_start || !self.zone_reads.is_read_due(now) {
            return;
        }
        if self.zone_reads.reads == 0 {
            let read_at = self.zone_reads.read_at;
            let version = self.zones_version();
            self.log_event(ExecutionLogEvent::ZonesOutdated {
                version,
                age_ms: read_at.map(|at| now.millis_since(at)),
            });
        }
        self.zone_reads.reads += 1;
        self.zone_reads.requested_at = Some(now);
        let document_after = self.unread_document_after();
        self.actions
            .push(ExecutionAction::ReadZones { document_after });
    }

    pub(super) fn on_zones_read(&mut self, now: Instant, zones: Option<EvacuatedZones>) {
        let Some(requested_at) = self.zone_reads.requested_at.take() else {
            return;
        };
        let Some(zones) = zones else {
            self.zone_reads.failed_reads += 1;
            self.zone_reads.retry_at = now.plus_ms(self.zone_reads.retry_delay_ms);
            self.zone_reads.retry_delay_ms =
                (self.zone_reads.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
            return;
        };
        self.zone_reads.retry_delay_ms = INITIAL_RETRY_DELAY_MS;
        if zones.version >= self.zones_version() {
            self.zone_reads.read_at = self.zone_reads.read_at.max(Some(requested_at));
        } else {
            // A read of an older state than the known one.
            self.zone_reads.retry_at = now.plus_ms(INITIAL_RETRY_DELAY_MS);
        }
        self.apply_zones(zones, "store");
    }

    fn zones_version(&self) -> u64 {
        self.zones.as_ref().map_or(0, |zones| zones.version)
    }
}
