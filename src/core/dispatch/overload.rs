//! Whether a job that waits will get its turn while its answer is of use.

use {
    super::{
        Dispatcher, JobOutcome, RefusalReason,
        job::{Job, JobKey},
        placement::free_capacity_for,
        queue::{DeadlineClass, WaitingTask},
        throughput::Throughput,
        worker_link::WorkerLink,
    },
    crate::core::{time::Instant, work::StepSpec},
    std::mem,
};

/// Shortest and longest time after which a client is asked to come back, in milliseconds: the queue is another one
/// after a second, and no overload is known well enough to say more than half a minute.
const RETRY_AFTER_BOUNDS_MS: (u64, u64) = (1_000, 30_000);

/// Share of the more urgent work that comes meanwhile which goes before a job that waits: the rest is refused itself or
/// comes when the job has begun.
const URGENT_ARRIVAL_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Refuses jobs taken in with these events that found no room and won't begin in time.
    ///
    /// Load that this answers: more work than the workers can do, for seconds. Guards against jobs that
    /// are held and refused later, when their client has lost that time: of a lasting flood most were. All work
    /// of the same urgency counts as before a new job, also what may start after it, so that one which is taken is not
    /// pushed aside by those that come next.
    pub(super) fn evaluate_new_jobs(&mut self, now: Instant) {
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
            let urgent =
                self.arrivals.more_urgent_than(now, waiting.priority) * URGENT_ARRIVAL_SHARE;
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

    /// Puts a task whose prospect has passed where it now belongs, or gives its job up.
    ///
    /// A job that did not begin in time is refused unless there is room for it: new work goes before it.
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

    /// Refuses a job of which nothing has begun and for which there is no room behind so many tasks.
    fn refuse_without_capacity(&mut self, now: Instant, key: JobKey, ahead: usize) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_refusable = !job.closed && !job.has_begun() && self.throughput.is_known();
        if !is_refusable || self.has_capacity_for(now, job, ahead) {
            return;
        }
        let (shortest_ms, longest_ms) = RETRY_AFTER_BOUNDS_MS;
        let outcome = JobOutcome::NotRun {
            reason: RefusalReason::Overloaded,
            retry_after_ms: self
                .throughput
                .time_for_ms(self.queue.work_ms())
                .clamp(shortest_ms, longest_ms),
        };
        self.finish_job(now, key, outcome);
    }

    /// Whether the room that is free takes the job's tasks and those before them, although none may be ordered at this
    /// moment: nothing is refused while a site is being filled.
    fn has_capacity_for(&self, now: Instant, job: &Job, ahead: usize) -> bool {
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

    /// How fast this entry gets through work like that which waits first.
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

    /// Tasks of a step that a worker takes from this entry at a time: those that run and what is free, or this entry's part
    /// of its room where that is more. An entry that begins has few runs yet, and others may hold what it will get.
    fn concurrent_tasks_at(
        &self,
        now: Instant,
        worker: &WorkerLink,
        job: &Job,
        step: &StepSpec,
    ) -> f64 {
        let Some(view) = worker.usable_view(now, job, step, self.zones.as_ref()) else {
            return 0.0;
        };
        let share = f64::from(step.needs.times_in(view.capacity)) / worker.entries();
        let free = f64::from(step.needs.times_in(worker.free_capacity()));
        f64::max(worker.runs.len() as f64 + free, share)
    }
}
