//! Shares of the queues of one service at an entry.

use {
    super::{
        LevelChange, LevelReport, PoolCapacity, ShareClass, ShareGrant,
        demand_levels::levels,
        max_min::ShareClaim,
        queue_share::{COMPLETE_PERMILLE, QueueShare},
    },
    crate::core::{
        link::{MAX_REPORTED_QUEUES, QueueDemand},
        time::Instant,
        work::{JobRequest, Resources},
    },
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Share of the more urgent arrivals that is expected to start before a waiting job; the others are
/// refused or arrive later.
pub(crate) const URGENT_ARRIVAL_SHARE: f64 = 0.5;

/// A job as the shares see it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ArrivingJob<'a> {
    pub(super) queue: &'a str,
    pub(super) priority: u32,
    pub(super) request: &'a JobRequest,
    /// Tasks wait at the entry or did so recently.
    pub(super) is_congested: bool,
    /// The job was refused recently.
    pub(super) is_returning: bool,
}

/// Shares of one service's queues.
#[derive(Debug, Default)]
pub(crate) struct ServiceShares {
    pool: PoolCapacity,
    queues: BTreeMap<Arc<str>, QueueShare>,
}

impl ServiceShares {
    /// Updates the capacity and the levels, and returns the levels that have changed.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        pool: PoolCapacity,
        reports: &[&LevelReport],
    ) -> Vec<LevelChange> {
        self.pool = pool;
        self.queues.retain(|_, queue| !queue.is_idle(now));
        let queues = self.queues.values();
        let claims: Vec<ShareClaim> = queues
            .map(|queue| ShareClaim::new(queue.recent_occupied_cores(now), queue.priority))
            .collect();
        let own_levels = match pool.own_cores() > 0.0 {
            true => levels(pool.own_cores(), &claims),
            false => vec![COMPLETE_PERMILLE; claims.len()],
        };
        let mut changes = Vec::new();
        for ((name, queue), own_level) in self.queues.iter_mut().zip(own_levels) {
            let previous = queue.level_permille;
            let median = LevelReport::median(reports, now, name);
            queue.own_level_permille = own_level;
            queue.set_level(now, median.unwrap_or(own_level));
            let new_state = queue.logged_state.update(now, queue.state());
            if queue.level_permille != previous || new_state.is_some() {
                changes.push(LevelChange {
                    queue: Arc::clone(name),
                    level_permille: queue.level_permille,
                    demand_milli: (queue.occupied_cores(now) * 1_000.0) as u64,
                    new_state,
                });
            }
        }
        changes
    }

    pub(super) fn admit(&mut self, now: Instant, job: ArrivingJob<'_>) -> ShareGrant {
        let work = self.work_of(job.request);
        if !self.queues.contains_key(job.queue) {
            let queue = QueueShare::new(now, job.priority);
            self.queues.insert(Arc::from(job.queue), queue);
        }
        let Some(queue) = self.queues.get_mut(job.queue) else {
            return ShareGrant::default();
        };
        queue.priority = job.priority;
        queue.admit(now, work, job.is_congested, job.is_returning)
    }

    pub(super) fn record_run(&mut self, now: Instant, queue: &str, ran_ms: u64, estimate_ms: u64) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.run_cost.record(now, ran_ms, estimate_ms);
        }
    }

    pub(super) fn refund(&mut self, queue: &str, grant: ShareGrant) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.refund(grant);
        }
    }

    /// A queue's level, in thousandths.
    pub(super) fn level_permille(&self, queue: &str) -> u16 {
        let queue = self.queues.get(queue);
        queue.map_or(COMPLETE_PERMILLE, |queue| queue.level_permille)
    }

    /// Work of a job, in milliseconds of one core.
    fn work_of(&self, request: &JobRequest) -> f64 {
        let steps = request.steps.iter();
        let work = steps.map(|step| {
            let work_ms = u64::from(step.tasks) * step.estimate_ms;
            work_ms as f64 * self.pool.cores_of(step.needs)
        });
        work.sum()
    }

    /// Expected work that starts before a job waiting now, as tasks with these needs at a time.
    ///
    /// Jobs of a class that precedes the job's are usually admitted, so all of them count.
    pub(super) fn urgent_tasks(
        &self,
        now: Instant,
        class: ShareClass,
        priority: u32,
        needs: Resources,
    ) -> f64 {
        let cores = self.queues.values().map(|queue| {
            let demand = queue.demand_cores(now);
            let (fitting, within) = match queue.is_fitting() {
                true => (demand, 0.0),
                false => (0.0, queue.within_cores(now)),
            };
            let beyond = (demand - fitting - within).max(0.0);
            let (certain, uncertain) = match class {
                ShareClass::Fitting => (0.0, fitting),
                ShareClass::Within => (fitting, within),
                ShareClass::Beyond | ShareClass::Excess => (fitting + within, beyond),
            };
            let is_more_urgent = queue.priority < priority;
            certain
                + if is_more_urgent {
                    uncertain * URGENT_ARRIVAL_SHARE
                } else {
                    0.0
                }
        });
        let cores_of_task = self.pool.cores_of(needs);
        if cores_of_task <= 0.0 {
            return 0.0;
        }
        cores.sum::<f64>() / cores_of_task
    }

    pub(super) fn is_unused(&self, now: Instant) -> bool {
        self.queues.values().all(|queue| queue.is_idle(now))
    }

    /// Demands for the agents; of more than [`MAX_REPORTED_QUEUES`] queues, the largest ones.
    pub(super) fn demands(&self, now: Instant) -> Vec<QueueDemand> {
        let cores = self.pool.cores();
        if cores <= 0.0 {
            return Vec::new();
        }
        let queues = self.queues.iter();
        let mut demands: Vec<QueueDemand> = queues
            .map(|(name, queue)| QueueDemand {
                queue: Arc::clone(name),
                priority: queue.priority,
                demand_ppm: (queue.occupied_cores(now) / cores * 1e6) as u32,
            })
            .collect();
        if demands.len() > MAX_REPORTED_QUEUES {
            demands.sort_by_key(|demand| Reverse(demand.demand_ppm));
            demands.truncate(MAX_REPORTED_QUEUES);
        }
        demands
    }
}
