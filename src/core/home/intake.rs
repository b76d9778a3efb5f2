//! What a home takes in: which runners there are, and whether a job would be done in time.

use {
    super::{
        Home, HomeAction,
        home::Timer,
        job_record::{JobRecord, JobState, RunningJob},
        runner_link::RunnerLink,
        ticket_ring::{JobKey, TicketState},
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

/// Share of tasks that take less than what counts as usual; slow is half as much again.
const USUAL_QUANTILE: f64 = 0.9;
/// Least time beyond the usual that counts as slow, in milliseconds: less is noise of the host.
const SLOW_LEAST_MS: u64 = 50;
/// At most one in so many runners is left alone.
const LEFT_ALONE_SHARE: usize = 3;

/// Why a job is not taken in.
#[derive(Debug)]
pub(super) enum Turndown {
    /// No worker of the configuration could ever hold one of its tasks.
    Impossible,
    /// It would not be done in time.
    Overload(Overload),
}

impl Home {
    /// Takes in which runners an entry names.
    pub(super) fn meet(&mut self, now: Instant, candidates: &[Candidate]) {
        for candidate in candidates {
            let link = self
                .links
                .entry(candidate.runner)
                .or_insert_with(|| RunnerLink::new(now, candidate));
            link.peer_addr = candidate.peer_addr;
            link.own = candidate.own;
            link.want_session(now);
        }
    }

    /// Learns from the end of a task.
    pub(super) fn learn(
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
            let usual_ms = self.run_times.quantile_ms(service, USUAL_QUANTILE);
            let slow_ms = usual_ms.map(|usual_ms| usual_ms + (usual_ms / 2).max(SLOW_LEAST_MS));
            let Some(end) = task_end(outcome, ran_ms, slow_ms) else {
                return;
            };
            // Slow runners must not teach what is slow.
            if end != HealthSample::Failed && self.is_trusted(now, runner) {
                self.run_times.record(service, ran_ms);
            }
            self.note_end(now, runner, end);
        }
    }

    fn is_trusted(&self, now: Instant, runner: AgentId) -> bool {
        self.links
            .get(&runner)
            .is_some_and(|link| link.health.max_tasks(now) > 1)
    }

    /// Leaves a runner alone whose tasks end badly, unless most others are left alone already:
    /// then the tasks are at fault, or something that they share.
    fn note_end(&mut self, now: Instant, runner: AgentId, end: HealthSample) {
        let alone = self
            .links
            .values()
            .filter(|link| link.health.is_ejected(now))
            .count();
        let may_eject = (alone + 1) * LEFT_ALONE_SHARE <= self.links.len();
        if let Some(link) = self.links.get_mut(&runner)
            && (may_eject || end == HealthSample::Success)
            && let Some(reason) = link.health.record(now, end)
        {
            self.actions.push(HomeAction::CountEjection(reason));
        }
    }

    /// Decides whether a new job is taken in.
    pub(super) fn judge(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        impossible: bool,
    ) -> Result<(), Turndown> {
        if impossible {
            return Err(Turndown::Impossible);
        }
        let declared_ms = spec.tasks.iter().map(|task| task.declared_run_ms).min();
        let declared_ms = u64::from(declared_ms.unwrap_or(0));
        let offer = AdmissionRequest {
            waiting: self.waiting_count(),
            oldest_wait_ms: self.oldest_wait_ms(now),
            tasks: spec.tasks.len(),
            deadline_ms: spec.deadline_ms,
            run_ms: self.run_times.expected_ms(&spec.service, declared_ms),
        };
        self.admission.decide(offer).map_err(Turndown::Overload)
    }

    /// Begins a job under a ticket that was not used before.
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
        self.ring.record(&ticket.id, key);
        self.running += 1;
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.waiting.push_back(key);
        key
    }

    /// Ends a job that was not taken in.
    ///
    /// Guards against a copy of the submission that comes later, through another entry, when there
    /// is room again: the client was told "not run" and may have sent the job under another
    /// ticket. This ticket is used up, and so every copy is answered alike.
    pub(super) fn end_refused(&mut self, key: JobKey, turndown: Turndown) {
        let (reason, retry_after_ms) = match turndown {
            Turndown::Impossible => (NotRunReason::ImpossibleTask, 0),
            Turndown::Overload(overload) => (NotRunReason::Overloaded, overload.retry_after_ms),
        };
        self.fail_job(
            key,
            reason,
            MayHaveRunReason::DeadlinePassed,
            retry_after_ms,
        );
    }

    /// Lets a job that did not run be submitted again under its ticket.
    ///
    /// Guards against a key that is refused for good: its client was told "not run" and when to
    /// come back, and can only come back with the same key, which is bound to the same ticket.
    /// Nothing of the job ran or is under way, so it may begin as if it were new.
    pub(super) fn release_not_run(&mut self, ticket: &Ticket, spec: &JobSpec) {
        let TicketState::Used(key) = self.ring.state(ticket) else {
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
        self.ring.release(&ticket.id);
        self.jobs.remove(key);
        self.answers.forget(key);
    }

    /// Tasks that wait.
    fn waiting_count(&self) -> usize {
        self.waiting
            .iter()
            .filter_map(|key| self.running_job(*key))
            .map(|job| job.queued.len())
            .sum()
    }

    /// For how long the oldest job has waited.
    fn oldest_wait_ms(&self, now: Instant) -> u64 {
        let mut waiting = self.waiting.iter().filter_map(|key| self.running_job(*key));
        waiting
            .find(|job| !job.queued.is_empty())
            .map_or(0, |job| now.millis_since(job.submitted_at))
    }

    /// The job under this key, while it runs.
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

/// What a task's end says about its runner, if it says anything.
fn task_end(outcome: &TaskOutcome, ran_ms: u64, slow_ms: Option<u64>) -> Option<HealthSample> {
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
