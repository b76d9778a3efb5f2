//! Admission of jobs, and the run times and runner health derived from task outcomes.

use {
    super::{
        Home, HomeAction,
        home::Timer,
        job_record::{JobRecord, JobState, RunningJob},
        runner_link::RunnerLink,
        ticket_registry::{JobKey, TicketState},
    },
    crate::core::{
        admission::{AdmissionRequest, Overload},
        ejection::HealthSample,
        job::{JobSpec, TaskOutcome},
        message::Candidate,
        ticket::{AgentId, Ticket},
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
};

/// Quantile of past run times used as the baseline; a run 50 % above it counts as slow.
const BASELINE_QUANTILE: f64 = 0.9;
/// Minimum excess over the baseline that counts as slow, in milliseconds; smaller ones are host
/// jitter.
const MIN_SLOWDOWN_MS: u64 = 50;
/// At most one in this many runners may be ejected at a time.
const MIN_RUNNERS_PER_EJECTION: usize = 3;

/// Why a job is rejected.
#[derive(Debug)]
pub(super) enum RejectReason {
    /// A task fits on no worker of the configuration.
    Impossible,
    /// The job would not finish before its deadline.
    Overload(Overload),
}

impl Home {
    /// Adds or updates the links of the runners that an entry named as candidates.
    pub(super) fn discover_runners(&mut self, now: Instant, candidates: &[Candidate]) {
        for candidate in candidates {
            let link = self
                .links
                .entry(candidate.runner)
                .or_insert_with(|| RunnerLink::new(now, candidate));
            link.peer_addr = candidate.peer_addr;
            link.own = candidate.own;
            link.apply_announced_slots(now, candidate.free_slots);
            link.request_session(now);
        }
    }

    /// Updates run times and runner health from the outcome of a run.
    pub(super) fn record_run_result(
        &mut self,
        now: Instant,
        runner: AgentId,
        key: JobKey,
        outcome: &TaskOutcome,
        ran_ms: u64,
    ) {
        if let Some(JobRecord {
            state: JobState::Running(job),
            ..
        }) = self.jobs.get(key)
        {
            let service = &job.spec.service;
            let baseline_ms = self.run_times.quantile_ms(service, BASELINE_QUANTILE);
            let slow_ms =
                baseline_ms.map(|baseline_ms| baseline_ms + (baseline_ms / 2).max(MIN_SLOWDOWN_MS));
            let Some(sample) = health_sample(outcome, ran_ms, slow_ms) else {
                return;
            };
            // Slow or ejected runners must not raise the baseline.
            if sample != HealthSample::Failed && self.is_trusted(now, runner) {
                self.run_times.record(service, ran_ms);
            }
            self.record_health(now, runner, sample);
        }
    }

    /// Whether the runner is neither ejected nor on probation.
    fn is_trusted(&self, now: Instant, runner: AgentId) -> bool {
        self.links
            .get(&runner)
            .is_some_and(|link| link.health.max_tasks(now) > 1)
    }

    /// Ejects a runner whose tasks fail or run slowly.
    ///
    /// At the limit of ejected runners, the tasks or a shared dependency are the more likely cause,
    /// so no further runner is ejected.
    fn record_health(&mut self, now: Instant, runner: AgentId, sample: HealthSample) {
        let ejected = self
            .links
            .values()
            .filter(|link| link.health.is_ejected(now))
            .count();
        let may_eject = (ejected + 1) * MIN_RUNNERS_PER_EJECTION <= self.links.len();
        if let Some(link) = self.links.get_mut(&runner)
            && (may_eject || sample == HealthSample::Success)
            && let Some(reason) = link.health.record(now, sample)
        {
            self.actions.push(HomeAction::CountEjection(reason));
        }
    }

    /// Decides whether a new job is admitted.
    pub(super) fn decide_admission(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        impossible: bool,
    ) -> Result<(), RejectReason> {
        if impossible {
            return Err(RejectReason::Impossible);
        }
        let declared_ms = spec.tasks.iter().map(|task| task.declared_run_ms).min();
        let declared_ms = u64::from(declared_ms.unwrap_or(0));
        let request = AdmissionRequest {
            waiting: self.queued_task_count(),
            oldest_wait_ms: self.oldest_wait_ms(now),
            tasks: spec.tasks.len(),
            deadline_ms: spec.deadline_ms,
            run_ms: self.run_times.expected_ms(&spec.service, declared_ms),
        };
        self.admission
            .decide(request)
            .map_err(RejectReason::Overload)
    }

    /// Starts a job under an unused ticket.
    pub(super) fn start_job(
        &mut self,
        now: Instant,
        ticket: Ticket,
        spec: JobSpec,
        candidates: &[Candidate],
    ) -> JobKey {
        let digest = spec.digest();
        let runners = candidates.iter().map(|c| c.runner).collect();
        let job = RunningJob::new(now, spec, runners);
        let deadline = job.deadline;
        let key = self.jobs.insert(JobRecord {
            ticket: ticket.id,
            digest,
            state: JobState::Running(Box::new(job)),
        });
        self.tickets.record(&ticket.id, key);
        self.running += 1;
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.waiting.push_back(key);
        key
    }

    /// Ends a job that was not admitted.
    ///
    /// The ticket stays used: a copy of the submission that arrives later through another entry
    /// gets the same rejection, because the client may have resubmitted the job under another
    /// ticket.
    pub(super) fn reject_job(&mut self, key: JobKey, rejection: RejectReason) {
        let (reason, retry_after_ms) = match rejection {
            RejectReason::Impossible => (NotRunReason::ImpossibleTask, 0),
            RejectReason::Overload(overload) => (NotRunReason::Overloaded, overload.retry_after_ms),
        };
        self.fail_job(
            key,
            reason,
            MayHaveRunReason::DeadlinePassed,
            retry_after_ms,
        );
    }

    /// Releases the ticket of a job that did not run, so that it can be submitted again.
    ///
    /// A client with a key of its own can only retry with that key, which is bound to the same
    /// ticket. No task of the job ran or is in flight, so the job may start as new.
    pub(super) fn release_ticket_if_not_run(&mut self, ticket: &Ticket, spec: &JobSpec) {
        let TicketState::Used(key) = self.tickets.state(ticket) else {
            return;
        };
        let Some(record) = self.jobs.get(key) else {
            return;
        };
        let JobState::Ended(answer) = &record.state else {
            return;
        };
        let Verdict::NotRun { reason, .. } = answer.verdict else {
            return;
        };
        if reason == NotRunReason::Cancelled || record.differs(&spec.digest()) {
            return;
        }
        self.tickets.release(&ticket.id);
        self.jobs.remove(key);
        self.answers.remove(key);
    }

    /// Number of queued tasks of all jobs.
    fn queued_task_count(&self) -> usize {
        self.waiting
            .iter()
            .filter_map(|key| self.running_job(*key))
            .map(|job| job.queued.len())
            .sum()
    }

    /// How long the oldest job with queued tasks has waited.
    fn oldest_wait_ms(&self, now: Instant) -> u64 {
        let mut waiting = self.waiting.iter().filter_map(|key| self.running_job(*key));
        waiting
            .find(|job| !job.queued.is_empty())
            .map_or(0, |job| now.millis_since(job.submitted_at))
    }

    /// The job under this key if it is running.
    pub(super) fn running_job(&self, key: JobKey) -> Option<&RunningJob> {
        match self.jobs.get(key) {
            Some(JobRecord {
                state: JobState::Running(job),
                ..
            }) => Some(job),
            _ => None,
        }
    }
}

/// What an outcome says about the health of its runner, if anything.
fn health_sample(outcome: &TaskOutcome, ran_ms: u64, slow_ms: Option<u64>) -> Option<HealthSample> {
    match outcome {
        TaskOutcome::Done { .. } if slow_ms.is_some_and(|slow_ms| ran_ms > slow_ms) => {
            Some(HealthSample::Slow)
        }
        TaskOutcome::Done { .. } => Some(HealthSample::Success),
        TaskOutcome::Failed { .. }
        | TaskOutcome::MayHaveRun {
            reason: MayHaveRunReason::BackendLost,
        }
        | TaskOutcome::NotRun {
            reason: NotRunReason::BackendDown | NotRunReason::BackendRefused,
        } => Some(HealthSample::Failed),
        TaskOutcome::NotRun { .. } | TaskOutcome::MayHaveRun { .. } => None,
    }
}
