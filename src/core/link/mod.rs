//! Frames that entries and agents exchange on a session.
//!
//! An agent dials each entry and keeps one session with it. A session is one stream in each
//! direction, so frames arrive in the order in which they were sent, or not at all.

mod agent_frame;
mod entry_frame;
mod evacuated_zones;
mod queue_level;

pub(crate) use {
    agent_frame::{AgentFrame, CapacityReport, NotStartedReason, RunOutcome},
    entry_frame::{EntryFrame, StartOrder},
    evacuated_zones::EvacuatedZones,
    queue_level::{MAX_REPORTED_QUEUES, QueueDemand, QueueLevel},
};
