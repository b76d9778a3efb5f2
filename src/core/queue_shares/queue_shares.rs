//! Shares of all competing queues at an entry.

use {
    super::{
        RefusedJobs, ServiceShares, ShareGrant, queue_share::COMPLETE_PERMILLE,
        service_shares::ArrivingJob,
    },
    crate::core::{
        link::QueueDemand,
        routes::Route,
        time::Instant,
        work::{JobId, JobRequest, Resources},
    },
    std::collections::BTreeMap,
};

/// Interval at which shares are computed, in milliseconds.
pub(super) const UPDATE_INTERVAL_MS: u64 = 100;
/// Level below which Retry-After no longer increases, in thousandths.
const MIN_RETRY_LEVEL_PERMILLE: u16 = 50;

/// Shares by service, and recently refused jobs.
#[derive(Debug, Default)]
pub(crate) struct QueueShares {
    services: BTreeMap<String, ServiceShares>,
    refused_jobs: RefusedJobs,
    updated_at: Option<Instant>,
}

impl QueueShares {
    /// Records an arriving job and decides whether it is within the share of its queue.
    /// `is_congested` states whether tasks wait at this entry or did so recently.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        id: JobId,
        route: &Route,
        request: &JobRequest,
        is_congested: bool,
    ) -> ShareGrant {
        if !route.competes {
            return ShareGrant::default();
        }
        if !self.services.contains_key(&route.service) {
            let shares = ServiceShares::default();
            self.services.insert(route.service.clone(), shares);
            // The capacity of the service is needed soon.
            self.updated_at = None;
        }
        let job = ArrivingJob {
            queue: &route.name,
            priority: route.priority,
            request,
            is_congested,
            is_returning: is_congested && self.refused_jobs.contains(now, id),
        };
        let service = self.services.get_mut(&route.service);
        service.map_or_else(ShareGrant::default, |service| service.admit(now, job))
    }

    /// Records that a job was refused: its tokens are returned, and it is recognized when it is
    /// submitted again.
    pub(crate) fn record_refusal(
        &mut self,
        now: Instant,
        id: JobId,
        route: &Route,
        grant: ShareGrant,
    ) {
        if !route.competes {
            return;
        }
        self.refused_jobs.record(now, id);
        if let Some(service) = self.services.get_mut(&route.service) {
            service.refund(&route.name, grant);
        }
    }

    /// Records that a run has ended, with the estimate of the work that it has done.
    pub(crate) fn record_run(
        &mut self,
        now: Instant,
        route: &Route,
        ran_ms: u64,
        estimate_ms: u64,
    ) {
        if let Some(service) = self.services.get_mut(&route.service) {
            service.record_run(now, &route.name, ran_ms, estimate_ms);
        }
    }

    /// Factor of the time after which a refused job may be submitted again; it is larger the less of
    /// the queue's demand fits.
    pub(crate) fn retry_factor(&self, route: &Route) -> f64 {
        let service = self.services.get(&route.service);
        let level_permille = service.map_or(COMPLETE_PERMILLE, |service| {
            service.level_permille(&route.name)
        });
        f64::from(COMPLETE_PERMILLE) / f64::from(level_permille.max(MIN_RETRY_LEVEL_PERMILLE))
    }

    /// Expected work that starts before a job that arrives now, as tasks with these needs at a
    /// time.
    pub(crate) fn urgent_tasks(
        &self,
        now: Instant,
        route: &Route,
        grant: ShareGrant,
        needs: Resources,
    ) -> f64 {
        let service = self.services.get(&route.service);
        service.map_or(0.0, |service| {
            service.urgent_tasks(now, grant.class, route.priority, needs)
        })
    }

    /// Demands of a service's queues for its agents.
    pub(crate) fn demands(&self, now: Instant, service: &str) -> Vec<QueueDemand> {
        let service = self.services.get(service);
        service.map_or_else(Vec::new, |service| service.demands(now))
    }

    /// Services whose shares must be updated now; none before the interval has passed.
    pub(crate) fn due_updates(
        &mut self,
        now: Instant,
    ) -> impl Iterator<Item = (&String, &mut ServiceShares)> {
        let is_recent = |at: Instant| now.millis_since(at) < UPDATE_INTERVAL_MS;
        let is_due = !self.updated_at.is_some_and(is_recent);
        if is_due {
            self.updated_at = Some(now);
            self.services.retain(|_, service| !service.is_unused(now));
        }
        self.services.iter_mut().filter(move |_| is_due)
    }
}
