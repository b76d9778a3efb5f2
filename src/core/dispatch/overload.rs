//! Refuses jobs that won't start in time under overload.

use {
    super::{
        Dispatcher,
        job::{Job, JobKey},
        placement::free_capacity_for,
        queue::{DeadlineClass, WaitingTask},
        throughput::Throughput,
        worker_link::WorkerLink,
    },
    crate::core::{time::Instant, work::StepSpec},
    std::mem,
};

/// Minimum and maximum Retry-After, in milliseconds; the queue has changed after a second, and no
/// overload can be predicted for more than half a minute.
pub(super) const RETRY_AFTER_BOUNDS_MS: (u64, u64) = (1_000, 30_000);

impl Dispatcher {
    /// Refuses jobs of this batch for which no capacity is free and which won't start in time.
    ///
    /// Refusing them at once leaves their clients time to retry. All work with the same or a more
    /// urgent priority counts as ahead of a new job, also what may start after it, so that later
    /// arrivals don't displace an accepted job. Jobs beyond the share of their queue don't count for
    /// one within its share.
    pub(super) fn evaluate_new_jobs(&mut self, now: Instant) {
        if self.defers_admission(now) {
            return;
        }
        if self.new_jobs.is_empty() || self.queue.is_empty() {
            self.new_jobs.clear();
            return;
        }
        self.throughput = self.estimate_throughput(now);
        for key in mem::take(&mut self.new_jobs) {
            let Some(waiting) = self.queue.first_of_job(key) else {
                continue;
            };
            let before = self.queue.work_ahead_of(&waiting);
            let urgent = self.urgent_arrivals(now, &waiting);
            let throughput = self.throughput.minus(urgent);
            let starts_at =
                throughput.map(|throughput| now.plus_ms(throughput.time_for_ms(before.work_ms)));
            let is_in_time = waiting.deadline_class == DeadlineClass::InTime
                && starts_at.is_some_and(|starts_at| starts_at <= waiting.latest_start);
            if !is_in_time {
                self.refuse_without_capacity(now, key, before.tasks);
            }
        }
    }

    /// Reclassifies a task whose latest start has passed, or gives up its job.
    ///
    /// A job that has not begun by then is refused unless capacity is free for it, since new jobs
    /// go before it.
    pub(super) fn requeue(&mut self, now: Instant, waiting: WaitingTask) {
        self.queue.remove(&waiting);
        if self.jobs.get(waiting.job).is_none_or(|job| job.closed) {
            return;
        }
        self.enqueue(now, waiting.job, waiting.task);
        if let Some(first) = self.queue.first_of_job(waiting.job) {
            self.refuse_without_capacity(now, waiting.job, self.queue.count_before(&first));
        }
    }

    /// Refuses a job that has not begun unless there is free capacity for it and the `ahead` tasks
    /// before it.
    fn refuse_without_capacity(&mut self, now: Instant, key: JobKey, ahead: usize) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_refusable = !job.closed && !job.has_begun() && self.throughput.is_known();
        if !is_refusable || self.has_capacity_for(now, job, ahead) {
            return;
        }
        let wait_ms = self.throughput.time_for_ms(self.queue.work_ms());
        self.refuse_overloaded(now, key, wait_ms);
    }

    /// Whether the free capacity fits the job's tasks and the `ahead` tasks before them, even if
    /// the limit on unreported start orders delays them. Nothing is refused while the site still
    /// has free capacity.
    pub(super) fn has_capacity_for(&self, now: Instant, job: &Job, ahead: usize) -> bool {
        let zones = self.zones.as_ref();
        let needed = ahead + job.waiting_tasks();
        job.request.steps.iter().any(|step| {
            let workers = self.workers.values();
            let free = workers.filter_map(|worker| {
                let free = free_capacity_for(now, worker, job, step, zones)?;
                usize::try_from(step.needs.times_in(free)).ok()
            });
            free.sum::<usize>() >= needed
        })
    }

    /// Estimates the throughput for tasks like the first one in the queue.
    pub(super) fn estimate_throughput(&self, now: Instant) -> Throughput {
        let first = self.queue.next_after(None);
        let next = first.and_then(|waiting| {
            let job = self.jobs.get(waiting.job)?;
            Some((job, job.step(waiting.task)?))
        });
        let tasks_of = |worker: &WorkerLink| match next {
            Some((job, step)) => self.concurrent_tasks_at(now, worker, job, step),
            None => 0.0,
        };
        Throughput::from_workers(self.workers.values(), tasks_of)
    }

    /// Concurrent tasks of a step that a worker runs for this entry: its current runs plus free
    /// capacity, or this entry's share of the worker's capacity if that is more. A new entry has
    /// few runs yet, and other entries may hold the capacity that it will get.
    pub(super) fn concurrent_tasks_at(
        &self,
        now: Instant,
        worker: &WorkerLink,
        job: &Job,
        step: &StepSpec,
    ) -> f64 {
        let Some(view) = worker.usable_view(now, job, step, self.zones.as_ref()) else {
            return 0.0;
        };
        let share = f64::from(step.needs.times_in(view.capacity)) * worker.share();
        let free = f64::from(step.needs.times_in(worker.free_capacity()));
        f64::max(worker.runs.len() as f64 + free, share)
    }
}
