//! Clients that send a job again when they hear nothing.

use crate::core::{time::Instant, work::JobId};

/// Pause before a job is sent again, in milliseconds.
pub(super) const RETRY_DELAY_MS: u64 = 1_300;

impl ClientModel {
    /// Whether it has called, waits on nothing, and was told each time that its job has not run.
    pub(super) const fn received_only_not_run(&self) -> bool {
        self.pending_call.is_none() && self.call_count > 0 && self.not_run_count == self.call_count
    }
}

/// A client with one job.
#[derive(Debug)]
pub(super) struct ClientModel {
    pub(super) job: JobId,
    pub(super) tasks: u16,
    pub(super) run_ms: u64,
    /// When it stops waiting for good.
    pub(super) deadline: Instant,
    /// The call that it waits on: entry, the entry's life, waiter.
    pub(super) pending_call: Option<(usize, u64, u64)>,
    pub(super) call_count: u32,
    /// Calls that were answered with "not run".
    pub(super) not_run_count: u32,
    /// It was answered at least once.
    pub(super) got_reply: bool,
    /// It has its final answer, or has given up.
    pub(super) finished: bool,
}
