//! Accepts, refuses and gives up jobs.

use {
    super::{
        DispatchLogEvent, Dispatcher, GiveUpReason, JobOutcome, RefusalReason, Submission,
        WaiterId,
        job::{Job, JobKey},
    },
    crate::core::{
        time::Instant,
        work::{JobRequest, StepSpec, UnsupportedFeature},
    },
};

const MAX_TASKS_PER_JOB: usize = 1_000;
/// Retry-After sent by a leaving entry, in milliseconds; by then the client's connections lead to
/// other entries.
const LEAVING_RETRY_AFTER_MS: u64 = 1_000;
/// Retry-After sent under overload, in milliseconds; most tasks end within a second, so the queue has
/// changed by then.
const OVERLOAD_RETRY_AFTER_MS: u64 = 1_000;
/// How long a leaving entry still accepts jobs, in milliseconds: as long as the load balancer takes
/// to remove it, and shorter than the usual stop grace period.
///
/// The balancer needs two failed probes, a second apart, and clients use open connections for
/// another second. Jobs accepted last have half of the usual grace period of 6 s left.
const LEAVING_ACCEPT_MS: u64 = 3_000;
/// Time after the first worker was announced until all kinds of workers are known, in milliseconds.
const WORKERS_KNOWN_AFTER_MS: u64 = 1_000;

impl Dispatcher {
    pub(super) fn on_submit(&mut self, now: Instant, submission: Submission) {
        let waiter = submission.waiter;
        if let Some(reason) = self.refusal_reason(now, &submission) {
            let retry_after_ms = match reason {
                RefusalReason::Leaving => LEAVING_RETRY_AFTER_MS,
                RefusalReason::Overloaded
                | RefusalReason::DeadlinePassed
                | RefusalReason::TooLarge
                | RefusalReason::NoMatchingWorker
                | RefusalReason::Isolated => OVERLOAD_RETRY_AFTER_MS,
                RefusalReason::Unsupported | RefusalReason::BadJob => 0,
            };
            let feature = submission.request.unsupported;
            self.log_event(DispatchLogEvent::JobRefused {
                job: submission.id.to_string(),
                route: submission.route.name.clone(),
                reason: reason.as_str(),
                feature: feature.map_or("", UnsupportedFeature::as_str),
                retry_after_ms,
                queued: self.queue.len(),
            });
            self.refuse(waiter, reason, retry_after_ms);
            return;
        }
        if self.cancellations.contains(now, submission.id) {
            self.reply(waiter, JobOutcome::Cancelled);
            return;
        }
        let Some(known) = self.by_id.get(&submission.id).copied() else {
            self.accept(now, submission, 1);
            return;
        };
        match self.jobs.get_mut(known) {
            Some(job) if !job.closed => {
                job.waiters.push(waiter);
                self.by_waiter.insert(waiter, known);
                self.log_event(DispatchLogEvent::JobJoined {
                    job: submission.id.to_string(),
                });
            }
            Some(job) => {
                let runs = job.open_runs;
                self.log_event(DispatchLogEvent::JobHeld {
                    job: submission.id.to_string(),
                    runs,
                });
                self.held_copies
                    .entry(submission.id)
                    .or_default()
                    .push(submission);
            }
            None => self.accept(now, submission, 1),
        }
    }

    fn refusal_reason(&self, now: Instant, submission: &Submission) -> Option<RefusalReason> {
        let request = &submission.request;
        if request.unsupported.is_some() || submission.route.needs_advice {
            return Some(RefusalReason::Unsupported);
        }
        if !is_valid(request) {
            return Some(RefusalReason::BadJob);
        }
        let stops_accepting = |since: Instant| now.millis_since(since) >= LEAVING_ACCEPT_MS;
        if self.leaving_since.is_some_and(stops_accepting) {
            return Some(RefusalReason::Leaving);
        }
        self.mismatch(now, submission)
    }

    /// Why no connected worker of the job's service can ever run one of its steps, if so: such tasks
    /// would keep others waiting until their deadline.
    fn mismatch(&self, now: Instant, submission: &Submission) -> Option<RefusalReason> {
        let are_workers_known = |since| now.millis_since(since) >= WORKERS_KNOWN_AFTER_MS;
        if !self.first_worker_at.is_some_and(are_workers_known) {
            return None;
        }
        let views = || {
            let workers = self.workers.values();
            let views = workers.filter_map(|worker| worker.view.as_ref());
            views.filter(|view| view.service == submission.route.service)
        };
        views().next()?;
        submission.request.steps.iter().find_map(|step| {
            let mut labelled = views()
                .filter(|view| step.has_required_label(view))
                .peekable();
            if labelled.peek().is_none() {
                return Some(RefusalReason::NoMatchingWorker);
            }
            let fits_somewhere = labelled.any(|view| step.needs.fits(view.capacity));
            (!fits_somewhere).then_some(RefusalReason::TooLarge)
        })
    }

    /// Accepts a job and numbers its runs from `first_run`.
    pub(super) fn accept(&mut self, now: Instant, submission: Submission, first_run: u32) {
        let (id, waiter) = (submission.id, submission.waiter);
        let waited_ms = self
            .client_deadlines
            .estimate_waited_ms(&submission.route, submission.time_left_ms);
        let mut job = Job::new(now, submission, first_run, waited_ms);
        job.share = self.admit_to_share(now, &job);
        let event = DispatchLogEvent::JobTaken {
            job: id.to_string(),
            route: job.route.name.clone(),
            tasks: job.tasks.len(),
            time_left_ms: job.deadline.millis_since(now),
            objective_ms: job.objective_ms,
            waited_ms,
            queued: self.queue.len(),
        };
        self.arrivals
            .record(now, job.route.priority, job.request.work_ms());
        let key = self.jobs.insert(job);
        self.new_jobs.push(key);
        self.by_id.insert(id, key);
        self.by_waiter.insert(waiter, key);
        self.log_event(event);
        if self.fail_if_crashing(now, key) || self.refuse_excess(now, key) {
            return;
        }
        let unblocked = self.jobs.get_mut(key).map(Job::unblock).unwrap_or_default();
        for task in unblocked {
            self.enqueue(now, key, task);
        }
    }

    /// Gives up a job when its last client has disconnected: nobody waits for the outcome, and the
    /// client may submit the job to another entry, which must not run it at the same time.
    pub(super) fn on_client_gone(&mut self, now: Instant, waiter: WaiterId) {
        for held in self.held_copies.values_mut() {
            held.retain(|submission| submission.waiter != waiter);
        }
        self.held_copies.retain(|_, held| !held.is_empty());
        let Some(key) = self.by_waiter.remove(&waiter) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.waiters.retain(|known| *known != waiter);
        if job.waiters.is_empty() && !job.closed {
            self.finish_job(now, key, JobOutcome::GivenUp(GiveUpReason::ClientGone));
        }
    }

    /// Closes jobs whose clients no longer wait.
    pub(super) fn end_expired_jobs(&mut self, now: Instant) {
        let expired: Vec<(JobKey, JobOutcome)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.closed && now >= job.deadline)
            .map(|(key, job)| (key, final_outcome(job, GiveUpReason::DeadlinePassed)))
            .collect();
        for (key, outcome) in expired {
            self.finish_job(now, key, outcome);
        }
    }

    /// Gives up a job with a waiting task that can't finish in time.
    pub(super) fn give_up(&mut self, now: Instant, key: JobKey) {
        if let Some(job) = self.jobs.get(key) {
            if !job.has_begun() {
                self.refuse_overloaded(now, key, OVERLOAD_RETRY_AFTER_MS);
                return;
            }
            let outcome = JobOutcome::GivenUp(GiveUpReason::DeadlinePassed);
            self.finish_job(now, key, outcome);
        }
    }

    /// Drops a closed job once none of its runs is open.
    pub(super) fn remove_if_finished(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.closed && job.open_runs == 0 {
            self.by_id.remove(&job.id);
            self.jobs.remove(key);
        }
    }

    /// Drops a closed job once none of its runs is open, and accepts the held copies of it.
    pub(super) fn release_held_copies(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (id, first_run) = (job.id, job.next_run());
        self.remove_if_finished(key);
        if self.by_id.contains_key(&id) {
            return;
        }
        for submission in self.held_copies.remove(&id).unwrap_or_default() {
            match self.by_id.get(&id) {
                None => self.accept(now, submission, first_run),
                Some(_) => self.on_submit(now, submission),
            }
        }
    }
}

/// "Not run" if no task can have started, otherwise "given up".
pub(super) fn final_outcome(job: &Job, reason: GiveUpReason) -> JobOutcome {
    if job.has_begun() {
        return JobOutcome::GivenUp(reason);
    }
    let refusal_reason = match reason {
        GiveUpReason::DeadlinePassed => RefusalReason::DeadlinePassed,
        GiveUpReason::Isolated => RefusalReason::Isolated,
        GiveUpReason::ClientGone | GiveUpReason::RunsLost => RefusalReason::Overloaded,
    };
    JobOutcome::NotRun {
        reason: refusal_reason,
        retry_after_ms: OVERLOAD_RETRY_AFTER_MS,
    }
}

/// Whether the job has between one and [`MAX_TASKS_PER_JOB`] tasks, none of its steps is empty, and
/// steps depend on earlier ones only.
fn is_valid(request: &JobRequest) -> bool {
    let refers_back = |(number, step): (u16, &StepSpec)| {
        step.tasks > 0 && step.after.iter().all(|before| *before < number)
    };
    let tasks = request.task_count();
    (1..=MAX_TASKS_PER_JOB).contains(&tasks) && (0u16..).zip(&request.steps).all(refers_back)
}
