//! Forwards jobs to their homes and returns the outcomes.

use {
    super::EntryState,
    crate::{
        core::{
            directory::HomeLocation,
            job::{JobAnswer, JobSpec, JobStatus},
            message::{PeerReply, PeerRequest, Submission},
            ticket::Ticket,
            verdict::{MayHaveRunReason, Verdict},
        },
        ports::{Counter, Metrics, PeerError, PeerNetwork, TimerService},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait of one call to a home, in milliseconds; each call sends a new list of candidates.
const MAX_CALL_WAIT_MS: u64 = 1_000;
/// Pause before retrying a failed call to a home, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 50;
/// Time beyond the requested wait after which a call times out, in milliseconds; needed if the
/// connection answers pings but the home doesn't reply.
const CALL_GRACE_MS: u64 = 1_500;
/// Time after which an unreachable home is reported to the client, in milliseconds.
const HOME_UNREACHABLE_MS: u64 = 2_000;
/// Retry delay sent to the client in that case, in milliseconds.
const HOME_RETRY_AFTER_MS: u64 = 1_000;

/// State of a job as reported to the client.
#[derive(Debug, Clone)]
pub(crate) enum JobReport {
    /// The job has ended.
    Ended(Arc<JobAnswer>),
    /// The client's wait ended before the job.
    Running {
        /// Number of ended tasks.
        ended: u16,
        /// Number of tasks.
        total: u16,
    },
    /// No job was submitted under this ticket.
    Unknown,
    /// A verdict without task outcomes.
    Verdict(Verdict),
}

/// Who chose the ticket of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketSource {
    /// The client sent it.
    Client,
    /// It is bound to the key that the client sent.
    Key,
    /// This entry, for a repeatable request that the client didn't identify.
    Entry,
}

/// The ticket of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobIdentity {
    /// The ticket, which names the home.
    pub(crate) ticket: Ticket,
    /// Who chose it.
    pub(crate) source: TicketSource,
}

impl JobIdentity {
    /// Creates the identity of a job submitted by ticket.
    pub(crate) const fn of_ticket(ticket: Ticket) -> Self {
        Self {
            ticket,
            source: TicketSource::Client,
        }
    }
}

/// Forwards jobs to their homes.
#[derive(Debug)]
pub(crate) struct Jobs {
    pub(crate) state: Arc<EntryState>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

impl Jobs {
    /// Submits a job, or attaches to it if it was submitted before, and waits for its end.
    pub(crate) async fn submit(
        &self,
        mut identity: JobIdentity,
        spec: JobSpec,
        wait_ms: u64,
    ) -> JobReport {
        self.submit_with(&mut identity, spec, wait_ms).await
    }

    /// Runs a repeatable job that the client didn't identify; `None` if no home accepts work.
    ///
    /// While the home can't be reached the job moves to other homes, since it may run more than
    /// once. The ticket returned is that of the last one.
    pub(crate) async fn run_repeatable(
        &self,
        spec: JobSpec,
        wait_ms: u64,
    ) -> Option<(Ticket, JobReport)> {
        let mut identity = JobIdentity {
            ticket: self.state.mint(1).pop()?,
            source: TicketSource::Entry,
        };
        let report = self.submit_with(&mut identity, spec, wait_ms).await;
        Some((identity.ticket, report))
    }

    async fn submit_with(
        &self,
        identity: &mut JobIdentity,
        spec: JobSpec,
        wait_ms: u64,
    ) -> JobReport {
        let task_count = spec.tasks.len();
        match self.follow(identity, Some(spec), wait_ms).await {
            JobReport::Ended(answer) if !answer.is_complete(&identity.ticket.id, task_count) => {
                corrupt_answer()
            }
            report => report,
        }
    }

    /// Waits for the end of a submitted job.
    pub(crate) async fn poll(&self, ticket: Ticket, wait_ms: u64) -> JobReport {
        let mut identity = JobIdentity::of_ticket(ticket);
        match self.follow(&mut identity, None, wait_ms).await {
            JobReport::Ended(answer) if !answer.is_complete(&ticket.id, answer.outcomes.len()) => {
                corrupt_answer()
            }
            report => report,
        }
    }

    /// Cancels a job and returns its state; retries until the home counts as unreachable.
    pub(crate) async fn cancel(&self, ticket: Ticket) -> JobReport {
        let started_at = self.timer.now();
        loop {
            match self.call_home(ticket, PeerRequest::Cancel { ticket }).await {
                Ok(report) => return report,
                Err(verdict) if self.elapsed_ms(started_at) >= HOME_UNREACHABLE_MS => {
                    return JobReport::Verdict(verdict);
                }
                Err(_) => sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await,
            }
        }
    }

    /// Calls the home repeatedly until the job ends or the wait is over.
    ///
    /// Calls are idempotent under the ticket, so a failed or timed-out call is retried. The spec of
    /// a job that was submitted before is `None`.
    async fn follow(
        &self,
        identity: &mut JobIdentity,
        mut spec: Option<JobSpec>,
        wait_ms: u64,
    ) -> JobReport {
        let started_at = self.timer.now();
        let service = spec.as_ref().map(|spec| spec.service.clone());
        // Whether the home has the job; further calls only poll.
        let mut is_submitted = spec.is_none();
        let mut failing_since = None;
        loop {
            let elapsed_ms = self.elapsed_ms(started_at);
            let call_wait_ms = wait_ms.saturating_sub(elapsed_ms).min(MAX_CALL_WAIT_MS);
            let unsubmitted = spec.as_ref().filter(|_| !is_submitted);
            let mut request = self.follow_request(*identity, unsubmitted, &service, call_wait_ms);
            if let PeerRequest::Submit(submission) = &mut request {
                // A retried submission has less time left.
                let remaining_ms = submission.spec.deadline_ms.saturating_sub(elapsed_ms);
                submission.spec.deadline_ms = remaining_ms.max(1);
            }
            match self.call_home(identity.ticket, request).await {
                Ok(JobReport::Running { ended, total }) => {
                    failing_since = None;
                    is_submitted = true;
                    if identity.source != TicketSource::Entry {
                        // The inputs are no longer needed.
                        spec = None;
                    }
                    if self.elapsed_ms(started_at) >= wait_ms {
                        return JobReport::Running { ended, total };
                    }
                }
                Ok(report) => return report,
                Err(verdict) => {
                    self.metrics.count(Counter::Retries, verdict.reason());
                    let since = *failing_since.get_or_insert_with(|| self.timer.now());
                    let out_of_time = self.elapsed_ms(started_at) >= wait_ms.max(RETRY_INTERVAL_MS);
                    if self.elapsed_ms(since) >= HOME_UNREACHABLE_MS || out_of_time {
                        return JobReport::Verdict(verdict);
                    }
                    if self.move_to_another_home(identity) {
                        is_submitted = false;
                        continue;
                    }
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                }
            }
        }
    }

    /// Replaces the ticket with one of another home if the entry chose it; true if it did.
    fn move_to_another_home(&self, identity: &mut JobIdentity) -> bool {
        if identity.source != TicketSource::Entry {
            return false;
        }
        // Homes whose last call failed accept no work.
        let Some(ticket) = self.state.mint(1).pop() else {
            return false;
        };
        identity.ticket = ticket;
        true
    }

    fn follow_request(
        &self,
        identity: JobIdentity,
        spec: Option<&JobSpec>,
        service: &Option<String>,
        wait_ms: u64,
    ) -> PeerRequest {
        let candidates = service
            .as_ref()
            .map(|service| self.state.candidates(service, identity.ticket.id.home))
            .unwrap_or_default();
        match spec {
            Some(spec) => PeerRequest::Submit(Box::new(Submission {
                ticket: identity.ticket,
                by_key: identity.source == TicketSource::Key,
                impossible: !self.state.fits_somewhere(spec),
                spec: spec.clone(),
                candidates,
                wait_ms,
            })),
            None => PeerRequest::Poll {
                ticket: identity.ticket,
                candidates,
                wait_ms,
            },
        }
    }

    /// Calls the ticket's home once; errors can be retried.
    async fn call_home(&self, ticket: Ticket, request: PeerRequest) -> Result<JobReport, Verdict> {
        let addr = match self.state.locate(ticket.id.home) {
            HomeLocation::At(addr) => addr,
            HomeLocation::Replaced => {
                let verdict = Verdict::may_have_run(MayHaveRunReason::HomeLost);
                return Ok(JobReport::Verdict(verdict));
            }
            HomeLocation::Unknown => return Err(home_unreachable()),
        };
        let limit = Duration::from_millis(MAX_CALL_WAIT_MS + CALL_GRACE_MS);
        match timeout(limit, self.network.call(addr, request)).await {
            Ok(Ok(PeerReply::Job(status))) => {
                self.state.record_call_success(ticket.id.home);
                Ok(report(status))
            }
            Ok(Ok(_)) => Err(home_unreachable()),
            Ok(Err(PeerError::Unreachable(_) | PeerError::OutcomeUnknown(_))) | Err(_) => {
                self.state.record_call_failure(ticket.id.home);
                Err(home_unreachable())
            }
        }
    }

    fn elapsed_ms(&self, since: crate::core::time::Instant) -> u64 {
        self.timer.now().millis_since(since)
    }
}

const fn home_unreachable() -> Verdict {
    Verdict::MayHaveRun {
        reason: MayHaveRunReason::HomeUnreachable,
        retry_after_ms: HOME_RETRY_AFTER_MS,
    }
}

const fn corrupt_answer() -> JobReport {
    JobReport::Verdict(Verdict::MayHaveRun {
        reason: MayHaveRunReason::AnswerCorrupt,
        retry_after_ms: HOME_RETRY_AFTER_MS,
    })
}

fn report(status: JobStatus) -> JobReport {
    match status {
        JobStatus::Ended(answer) => JobReport::Ended(answer),
        JobStatus::Running { ended, total } => JobReport::Running { ended, total },
        JobStatus::Unknown => JobReport::Unknown,
        JobStatus::Refused(verdict) => JobReport::Verdict(verdict),
    }
}
