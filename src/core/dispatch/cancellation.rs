//! Cancellation of jobs by their clients.

use {
    super::{Dispatcher, JobOutcome},
    crate::core::{time::Instant, work::JobId},
    std::collections::BTreeMap,
};

/// How long a cancelled job is remembered, in milliseconds; longer than late copies of it arrive.
const CANCELLATION_MEMORY_MS: u64 = 120_000;
/// Maximum number of cancelled jobs that are remembered.
const MAX_REMEMBERED_JOBS: usize = 4_096;

/// Jobs that were cancelled recently; a late copy of one must not run.
#[derive(Debug, Default)]
pub(super) struct CancelledJobs {
    by_id: BTreeMap<JobId, Instant>,
}

impl CancelledJobs {
    fn record(&mut self, now: Instant, id: JobId) {
        self.by_id
            .retain(|_, at| now.millis_since(*at) < CANCELLATION_MEMORY_MS);
        if self.by_id.len() >= MAX_REMEMBERED_JOBS {
            let oldest = self.by_id.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.by_id.remove(&oldest);
            }
        }
        self.by_id.insert(id, now);
    }

    pub(super) fn contains(&self, now: Instant, id: JobId) -> bool {
        let cancelled_at = self.by_id.get(&id);
        cancelled_at.is_some_and(|at| now.millis_since(*at) < CANCELLATION_MEMORY_MS)
    }
}

impl Dispatcher {
    /// Whether this entry has an open job of this identity, or has cancelled it.
    pub(crate) fn can_cancel(&self, id: JobId) -> bool {
        let key = self.by_id.get(&id);
        let job = key.and_then(|key| self.jobs.get(*key));
        job.is_some_and(|job| !job.closed)
            || self.held_copies.contains_key(&id)
            || self.cancelled_jobs.by_id.contains_key(&id)
    }

    /// Ends a job and its held copies as cancelled; stops its runs and starts no more.
    pub(super) fn on_cancel(&mut self, now: Instant, id: JobId) {
        if !self.can_cancel(id) {
            return;
        }
        self.cancelled_jobs.record(now, id);
        for copy in self.held_copies.remove(&id).unwrap_or_default() {
            self.reply(copy.waiter, JobOutcome::Cancelled);
        }
        let key = self.by_id.get(&id).copied();
        let is_open = |key: &_| self.jobs.get(*key).is_some_and(|job| !job.closed);
        if let Some(key) = key.filter(is_open) {
            self.finish_job(now, key, JobOutcome::Cancelled);
        }
    }
}
