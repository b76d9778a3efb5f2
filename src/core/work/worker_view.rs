//! A worker as its agent describes it.

use {
    super::Resources,
    serde::{Deserialize, Serialize},
};

/// One life of a worker: a restart begins another, also under the same name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkerIncarnation {
    /// The worker's name.
    pub(crate) id: String,
    /// When this life began, in milliseconds since 1970 on the worker's clock.
    pub(crate) born_unix_ms: u64,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkerView {
    /// The life that this describes.
    pub(crate) life: WorkerIncarnation,
    /// The service that it runs tasks of.
    pub(crate) service: String,
    /// Its availability zone.
    pub(crate) availability_zone: String,
    /// What it has room for when nothing runs.
    pub(crate) capacity: Resources,
    /// Its kind and its rack.
    pub(crate) labels: Vec<String>,
    /// It ends soon and takes nothing new.
    pub(crate) draining: bool,
}
