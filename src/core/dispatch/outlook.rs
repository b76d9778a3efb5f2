//! Whether a job that waits will get its turn while its answer is of use.

use {
    super::{
        Answer, Dispatcher, RefusalReason,
        arrival_rate::ArrivalRate,
        job::{Job, JobKey},
        placing::free_for,
        queue::{Prospect, Waiting},
    },
    crate::core::time::Instant,
    std::mem,
};

/// Shortest and longest time after which a client is asked to come back, in milliseconds: the queue is another one
/// after a second, and no overload is known well enough to say more than half a minute.
const RETRY_MS: (u64, u64) = (1_000, 30_000);

impl Dispatcher {
    /// Refuses jobs taken in with these events that found no room and won't find any in time.
    ///
    /// Load that this answers: more work than the workers can do, for seconds. Guards against jobs that
    /// are held until they are of no use and refused then: the client has lost that time, and may come back at
    /// once when it hears at once. What is in front is reckoned with the pace at which this
    /// entry's runs end; an answer late but of use is awaited only with the pace that new arrivals leave.
    pub(super) fn judge_new_jobs(&mut self, now: Instant) {
        for key in mem::take(&mut self.new_jobs) {
            let Some(waiting) = self.queue.first_of(key) else {
                continue;
            };
            if !waiting.untouched {
                continue;
            }
            let ahead = self.queue.ahead_of(&waiting);
            let wait_ms = self.pace.time_for_ms(ahead);
            let is_in_time = waiting.prospect == Prospect::InTime;
            if !is_in_time || now.plus_ms(wait_ms) > waiting.latest_start {
                self.refuse_if_hopeless(now, key, ahead);
            }
        }
    }

    /// Refuses a job of which nothing has begun if it can't be started while its answer is of use; so many tasks
    /// go before its own.
    fn refuse_if_hopeless(&mut self, now: Instant, key: JobKey, ahead: usize) {
        let Some(job) = self.jobs.get(key).filter(|job| !job.closed) else {
            return;
        };
        let last_start = last_useful_start(job);
        // What the last second shows says nothing about the fourth one from now.
        let is_far = last_start > now.plus_ms(ArrivalRate::MEMORY_MS);
        if is_far || job.has_begun() || !self.pace.is_known() || self.room_is_known(now, job) {
            return;
        }
        let left_over = self.pace.less(self.arrivals.per_s(now));
        let is_hopeless = match left_over {
            Some(pace) => now.plus_ms(pace.time_for_ms(ahead)) > last_start,
            None => true,
        };
        if is_hopeless {
            let (least, most) = RETRY_MS;
            let answer = Answer::NotRun {
                reason: RefusalReason::Overloaded,
                retry_after_ms: self.pace.time_for_ms(ahead).clamp(least, most),
            };
            self.answer(now, key, answer);
        }
    }

    /// Whether a worker has room for a task of the job, although none may be ordered there at this moment: the
    /// pace says nothing while the site is being filled.
    fn room_is_known(&self, now: Instant, job: &Job) -> bool {
        let news = self.news.as_ref();
        job.request.steps.iter().any(|step| {
            let mut workers = self.workers.values();
            workers.any(|worker| free_for(now, worker, job, step, news).is_some())
        })
    }

    /// Puts a task whose prospect has passed where it now belongs, or gives its job up.
    pub(super) fn requeue(&mut self, now: Instant, waiting: Waiting) {
        self.queue.remove(&waiting);
        if self.jobs.get(waiting.job).is_none_or(|job| job.closed) {
            return;
        }
        self.enqueue(now, waiting.job, waiting.task);
        if let Some(first) = self.queue.first_of(waiting.job) {
            self.refuse_if_hopeless(now, waiting.job, self.queue.ahead_of(&first));
        }
    }
}

/// The last useful start of the job's longest waiting task.
fn last_useful_start(job: &Job) -> Instant {
    let estimates = job.request.steps.iter().map(|step| step.estimate_ms);
    job.last_useful_start(estimates.max().unwrap_or(0))
}
