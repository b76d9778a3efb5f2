//! Admission while the agents of a new entry are still connecting.

use {
    super::{Dispatcher, job::JobKey},
    crate::core::time::Instant,
};

/// Maximum duration of a discovery, in milliseconds; agents connect within this time.
const MAX_DISCOVERY_MS: u64 = 300;
/// Time without a further worker after which all are known, in milliseconds; the interval at which
/// agents dial an entry that refuses connections.
const SETTLED_AFTER_MS: u64 = 140;

/// The time from the first available worker until most of them are known.
///
/// Until then the throughput is that of the few workers that happened to connect first, and jobs would
/// be refused that all of them could run in time. Jobs wait meanwhile and are evaluated afterwards.
#[derive(Debug, Default)]
pub(super) struct WorkerDiscovery {
    /// When the first and the latest worker became available; `None` if no discovery is open.
    open: Option<(Instant, Instant)>,
}

impl WorkerDiscovery {
    /// Records that a worker became available, and whether it is the only one.
    pub(super) fn record_worker(&mut self, now: Instant, is_first: bool) {
        match &mut self.open {
            Some((_, latest)) => *latest = now,
            None if is_first => self.open = Some((now, now)),
            None => {}
        }
    }

    const fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Ends the discovery if its time is over; returns whether it did.
    fn try_end(&mut self, now: Instant) -> bool {
        let is_over = self.open.is_some_and(|(first, latest)| {
            now.millis_since(first) >= MAX_DISCOVERY_MS
                || now.millis_since(latest) >= SETTLED_AFTER_MS
        });
        if is_over {
            self.open = None;
        }
        is_over
    }
}

impl Dispatcher {
    /// Whether new jobs must not be refused yet. When the discovery ends, all jobs that have not begun
    /// are evaluated like new ones, the most urgent first.
    pub(super) fn defers_admission(&mut self, now: Instant) -> bool {
        if self.worker_discovery.try_end(now) {
            self.new_jobs = self.jobs_without_starts();
        }
        if self.worker_discovery.is_open() {
            self.new_jobs.clear();
            return true;
        }
        false
    }

    fn jobs_without_starts(&self) -> Vec<JobKey> {
        let jobs = self.jobs.iter();
        let mut waiting: Vec<_> = jobs
            .filter(|(_, job)| !job.closed && !job.has_begun())
            .map(|(key, job)| (job.route.priority, job.received_at, key))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, _, key)| key).collect()
    }
}
