//! Identifier of a process incarnation.

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a process; chosen at random at each start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct AgentId(pub(crate) u64);
