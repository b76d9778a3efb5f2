//! State of a session with an entry.

use {
    super::{capacity::ReportedCapacity, capacity_use::CapacityUse},
    crate::core::{
        link::{QueueDemand, QueueLevel},
        time::Instant,
        work::RunLimits,
    },
};

/// State of one entry's session.
#[derive(Debug)]
pub(super) struct EntryLink {
    /// The entry's address, for logs.
    pub(super) entry: String,
    /// End of the entry's lease: tasks may run for it until then.
    pub(super) lease_until: Instant,
    /// When the last frame arrived from the entry.
    pub(super) last_received_at: Instant,
    /// Start orders received on this session.
    pub(super) starts_seen: u32,
    pub(super) capacity: ReportedCapacity,
    pub(super) capacity_use: CapacityUse,
    /// The entry's demand in its latest heartbeat, in thousandths of a task at a time.
    pub(super) demand_milli: u32,
    /// Demands of the competing queues in the same heartbeat.
    pub(super) queue_demands: Vec<QueueDemand>,
    /// Levels of the queues in the latest heartbeat to the entry.
    pub(super) sent_levels: Vec<QueueLevel>,
    /// Since when the entry uses older zones than this agent, or when the newer ones were last sent
    /// to it.
    pub(super) zones_outdated_since: Option<Instant>,
    /// Since when the entry names this agent as a holder of the document.
    pub(super) holder_since: Option<Instant>,
    /// Since when the session accepts no starts because the agent no longer needs it.
    pub(super) retiring_since: Option<Instant>,
    /// When a timestamp of this agent was last sent after the hello.
    pub(super) stamped_at: Option<Instant>,
    pub(super) heartbeat_sent_at: Option<Instant>,
}

impl EntryLink {
    pub(super) fn new(now: Instant, entry: String) -> Self {
        Self {
            entry,
            // Nothing starts before the entry has echoed the first timestamp.
            lease_until: now,
            last_received_at: now,
            starts_seen: 0,
            capacity: ReportedCapacity::new(now),
            capacity_use: CapacityUse::new(),
            demand_milli: 0,
            queue_demands: Vec::new(),
            sent_levels: Vec::new(),
            zones_outdated_since: None,
            holder_since: None,
            retiring_since: None,
            stamped_at: None,
            heartbeat_sent_at: None,
        }
    }

    /// Whether a heartbeat of the entry must be answered with one.
    ///
    /// Capacity reports contain a timestamp as well, but not the document's revision. An older one is
    /// not enough: the entry echoes it until its next heartbeat.
    pub(super) fn is_heartbeat_due(&self, now: Instant, limits: RunLimits) -> bool {
        let is_due = |sent_at: Option<Instant>, interval_ms| {
            sent_at.is_none_or(|sent_at| now.millis_since(sent_at) >= interval_ms)
        };
        is_due(self.stamped_at, limits.heartbeat_interval_ms() / 2)
            || is_due(self.heartbeat_sent_at, limits.liveness_timeout_ms)
    }
}
