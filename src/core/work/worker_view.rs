//! A worker as its agent describes it.

use {
    super::Resources,
    serde::{Deserialize, Serialize},
};

/// One incarnation of a worker; a restart under the same name is a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkerIncarnation {
    pub(crate) id: String,
    /// Start time, in milliseconds since the Unix epoch on the worker's clock.
    pub(crate) born_unix_ms: u64,
}

/// A worker's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkerView {
    /// The incarnation that this describes.
    pub(crate) life: WorkerIncarnation,
    /// The service whose tasks it runs.
    pub(crate) service: String,
    pub(crate) availability_zone: String,
    /// Total resources.
    pub(crate) capacity: Resources,
    /// Labels, such as its kind and its rack.
    pub(crate) labels: Vec<String>,
    /// Whether it is about to stop and accepts no new tasks.
    pub(crate) draining: bool,
}
