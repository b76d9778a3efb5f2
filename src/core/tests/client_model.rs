//! Client that resends its job until it has a final outcome.

use crate::core::{time::Instant, work::JobId};

pub(super) const RETRY_DELAY_MS: u64 = 1_300;

impl ClientModel {
    /// Returns whether every call was answered, and each with "not run".
    pub(super) const fn received_only_not_run(&self) -> bool {
        self.pending_call.is_none() && self.call_count > 0 && self.not_run_count == self.call_count
    }
}

#[derive(Debug)]
pub(super) struct ClientModel {
    pub(super) job: JobId,
    pub(super) tasks: u16,
    pub(super) run_ms: u64,
    pub(super) deadline: Instant,
    /// Entry, incarnation of the entry, and waiter of the call without a reply.
    pub(super) pending_call: Option<(usize, u64, u64)>,
    pub(super) call_count: u32,
    pub(super) not_run_count: u32,
    pub(super) got_reply: bool,
    /// Whether the client has a final outcome or has timed out.
    pub(super) finished: bool,
}
