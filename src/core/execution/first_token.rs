//! The first fencing token of a process.

use std::time::Duration;

/// Returns a fencing token above those of this agent's earlier processes if the system clock is
/// correct: the time in milliseconds. A process takes longer than one to start, and raises its token
/// less often.
///
/// Otherwise the worker rejects the token and the executor raises it.
pub(crate) fn first_token(since_epoch: Duration) -> u64 {
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
