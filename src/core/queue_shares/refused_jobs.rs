//! Jobs that were refused recently.

use {
    crate::core::{time::Instant, work::JobId},
    std::collections::{BTreeSet, VecDeque},
};

/// Maximum number of records; the oldest are dropped first.
const MAX_RECORDS: usize = 1_024;
/// Time after which a record expires, in milliseconds: the longest Retry-After.
const RECORD_EXPIRY_MS: u64 = 30_000;

/// Records of refused jobs, by which a job that is submitted again is recognized.
#[derive(Debug, Default)]
pub(super) struct RefusedJobs {
    jobs: BTreeSet<JobId>,
    /// The same jobs, the oldest record first.
    by_age: VecDeque<(Instant, JobId)>,
}

impl RefusedJobs {
    /// Records a refusal. A job that is already recorded keeps its earlier record.
    pub(super) fn record(&mut self, now: Instant, job: JobId) {
        self.expire(now);
        if !self.jobs.insert(job) {
            return;
        }
        self.by_age.push_back((now, job));
        if self.by_age.len() > MAX_RECORDS
            && let Some((_, oldest)) = self.by_age.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Whether the job was refused and is submitted again.
    pub(super) fn contains(&mut self, now: Instant, job: JobId) -> bool {
        self.expire(now);
        self.jobs.contains(&job)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((recorded_at, job)) = self.by_age.front()
            && now.millis_since(*recorded_at) >= RECORD_EXPIRY_MS
        {
            self.jobs.remove(job);
            self.by_age.pop_front();
        }
    }
}
