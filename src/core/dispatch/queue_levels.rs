//! Applies the shares of competing queues to jobs, and exchanges demands and levels with agents.

use {
    super::{
        DispatchAction, DispatchLogEvent, Dispatcher, JobOutcome, RefusalReason,
        job::{Job, JobKey},
        overload::RETRY_AFTER_BOUNDS_MS,
        queue::WaitingTask,
        worker_link::{OpenRun, WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{EvacuatedZones, QueueDemand, RunOutcome},
        queue_shares::{LevelReport, PoolCapacity, ShareClass, ShareGrant, URGENT_ARRIVAL_SHARE},
        time::Instant,
        work::WorkerView,
    },
    rand::RngExt,
};

/// Time for which an entry counts as congested after tasks have waited there, in milliseconds.
///
/// In a flood, the queue of an entry with few clients is empty for moments. If its jobs didn't count
/// against its share then, it would refuse fewer of them than the other entries.
const CONGESTION_MEMORY_MS: u64 = 500;

impl Dispatcher {
    /// Records an arriving job at the shares of its queue.
    pub(super) fn admit_to_share(&mut self, now: Instant, job: &Job) -> ShareGrant {
        let is_recent = |at: Instant| now.millis_since(at) < CONGESTION_MEMORY_MS;
        let is_congested = self.congested_at.is_some_and(is_recent);
        self.queue_shares
            .admit(now, job.id, &job.route, &job.request, is_congested)
    }

    /// Refuses a job beyond what the workers can serve of its queue; returns whether it did.
    ///
    /// Otherwise the entries whose own queues are short would start such jobs while others refuse jobs
    /// within their share.
    pub(super) fn refuse_excess(&mut self, now: Instant, key: JobKey) -> bool {
        let job = self.jobs.get(key);
        let is_excess = job.is_some_and(|job| job.share.class == ShareClass::Excess);
        if is_excess {
            let wait_ms = self.throughput.time_for_ms(self.queue.work_ms());
            self.refuse_overloaded(now, key, wait_ms);
        }
        is_excess
    }

    /// Updates capacities and levels of the services with competing queues, if they are due.
    pub(super) fn update_queue_shares(&mut self, now: Instant) {
        let mut changes = Vec::new();
        for (service, shares) in self.queue_shares.due_updates(now) {
            let workers = self.workers.values();
            let usable = workers.filter_map(|worker| {
                let view = usable_worker(worker, service, self.zones.as_ref())?;
                Some((worker, view))
            });
            let mut pool = PoolCapacity::default();
            let mut reports: Vec<&LevelReport> = Vec::with_capacity(self.workers.len());
            for (worker, view) in usable {
                pool.add_worker(view.capacity, worker.share());
                reports.push(&worker.levels);
            }
            changes.extend(shares.update(now, pool, &reports));
        }
        for change in changes {
            if let Some(state) = change.new_state {
                self.log_event(DispatchLogEvent::QueueLevel {
                    queue: change.queue.to_string(),
                    state: state.as_str(),
                    level_permille: change.level_permille,
                    demand_milli: change.demand_milli,
                });
            }
            self.actions.push(DispatchAction::SetQueueLevel {
                queue: change.queue,
                level_permille: change.level_permille,
            });
        }
    }

    /// Records how long a run has occupied its slot.
    pub(super) fn record_run_cost(
        &mut self,
        now: Instant,
        open: &OpenRun,
        outcome: RunOutcome,
        ran_ms: u64,
    ) {
        if matches!(outcome, RunOutcome::NotStarted(_)) {
            return;
        }
        let Some(job) = self.jobs.get(open.job) else {
            return;
        };
        let estimate_ms = match outcome {
            RunOutcome::Done => open.estimate_ms,
            _ => 0,
        };
        self.queue_shares
            .record_run(now, &job.route, ran_ms, estimate_ms);
    }

    /// Demands of the competing queues of the agent's service.
    pub(super) fn queue_demands(&self, now: Instant, key: WorkerKey) -> Vec<QueueDemand> {
        let worker = self.workers.get(key);
        let view = worker.and_then(|worker| worker.view.as_ref());
        view.map_or_else(Vec::new, |view| {
            self.queue_shares.demands(now, &view.service)
        })
    }

    /// Rate of the arrivals that are expected to start before a waiting job, in milliseconds of
    /// work per millisecond.
    pub(super) fn urgent_arrivals(&self, now: Instant, waiting: &WaitingTask) -> f64 {
        let by_priority =
            || self.arrivals.more_urgent_than(now, waiting.priority) * URGENT_ARRIVAL_SHARE;
        let Some(job) = self.jobs.get(waiting.job).filter(|job| job.route.competes) else {
            return by_priority();
        };
        // The throughput is that of tasks like the first one in the queue.
        let first = self.queue.next_after(None).and_then(|first| {
            let first_job = self.jobs.get(first.job)?;
            first_job.step(first.task)
        });
        first.map_or_else(by_priority, |step| {
            self.queue_shares
                .urgent_tasks(now, &job.route, job.share, step.needs)
        })
    }

    /// Refuses a job that has not begun. `wait_ms` is the time after which capacity is expected.
    ///
    /// Clients of a competing queue are told to wait longer the less of its demand fits, for times
    /// that differ, so that they don't all return at once.
    pub(super) fn refuse_overloaded(&mut self, now: Instant, key: JobKey, wait_ms: u64) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (shortest_ms, longest_ms) = RETRY_AFTER_BOUNDS_MS;
        let mut retry_after_ms = wait_ms.clamp(shortest_ms, longest_ms);
        if job.route.competes {
            let factor =
                self.queue_shares.retry_factor(&job.route) * self.rng.random_range(1.0..2.0);
            retry_after_ms = ((retry_after_ms as f64 * factor) as u64).min(longest_ms);
            self.queue_shares
                .record_refusal(now, job.id, &job.route, job.share);
        }
        let outcome = JobOutcome::NotRun {
            reason: RefusalReason::Overloaded,
            retry_after_ms,
        };
        self.finish_job(now, key, outcome);
    }
}

/// The worker, if it accepts tasks of this service.
fn usable_worker<'a>(
    worker: &'a WorkerLink,
    service: &str,
    zones: Option<&EvacuatedZones>,
) -> Option<&'a WorkerView> {
    let view = worker.view.as_ref().filter(|_| worker.link.is_some())?;
    let is_evacuated = zones.is_some_and(|zones| zones.evacuated.contains(&view.availability_zone));
    (view.service == service && !view.draining && !is_evacuated).then_some(view)
}
