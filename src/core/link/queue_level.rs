//! Demands and levels of queues, as entries and agents exchange them.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Maximum number of queues in one message.
pub(crate) const MAX_REPORTED_QUEUES: usize = 16;

/// Demand of one queue at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueDemand {
    /// The queue's name.
    pub(crate) queue: Arc<str>,
    /// Lower values are more urgent.
    pub(crate) priority: u32,
    /// Part of each worker's capacity that the entry's tasks of this queue would occupy at a time,
    /// in millionths.
    pub(crate) demand_ppm: u32,
}

/// Level of one queue at one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueLevel {
    /// The queue's name.
    pub(crate) queue: Arc<str>,
    /// Share of the demanded work that fits, in thousandths.
    pub(crate) level_permille: u16,
}
