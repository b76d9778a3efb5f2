//! The identity of one run of a process.

use serde::{Deserialize, Serialize};

/// Names one incarnation of a process: drawn at random at its start, so a restart has another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct AgentId(pub(crate) u64);
