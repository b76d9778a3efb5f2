//! Jobs on their way to their homes and back.

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

/// Longest wait of one call to a home; between calls the runners are named anew.
const CALL_WAIT_MS: u64 = 1_000;
/// Pause before a home is called again after a failure.
const RECALL_PAUSE_MS: u64 = 50;
/// Time beyond the wait asked for after which a call counts as lost: its connection answers pings,
/// but the home behind it does not reply.
const CALL_GRACE_MS: u64 = 1_500;
/// Time after which a home that can't be reached is reported to the client.
const HOME_UNREACHABLE_MS: u64 = 2_000;
/// When the client should ask again after that.
const HOME_RETRY_AFTER_MS: u64 = 1_000;

/// What to tell the client about a job.
#[derive(Debug, Clone)]
pub(crate) enum JobReport {
    /// The job has ended.
    Ended(Arc<JobAnswer>),
    /// The client's wait is over before the job is.
    Running {
        /// Tasks that have ended so far.
        ended: u16,
        /// Tasks in all.
        total: u16,
    },
    /// Nothing was ever submitted under this ticket.
    Unknown,
    /// A verdict without an answer.
    Verdict(Verdict),
}

/// Under what a client knows its job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Identity {
    /// The ticket, or the one that the client's key is bound to.
    pub(crate) ticket: Ticket,
    /// Whether it came as a key.
    pub(crate) by_key: bool,
}

impl Identity {
    /// A ticket that the client holds.
    pub(crate) const fn of_ticket(ticket: Ticket) -> Self {
        Self {
            ticket,
            by_key: false,
        }
    }
}

/// Hands jobs to their homes.
#[derive(Debug)]
pub(crate) struct Jobs {
    pub(crate) state: Arc<EntryState>,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

impl Jobs {
    /// Submits a job under its ticket, or attaches to it, and waits for its end.
    pub(crate) async fn submit(
        &self,
        identity: Identity,
        spec: JobSpec,
        wait_ms: u64,
    ) -> JobReport {
        let ticket = identity.ticket;
        let task_count = spec.tasks.len();
        let report = self.follow(identity, Some(spec), wait_ms).await;
        match report {
            JobReport::Ended(answer) if !answer.is_complete(&ticket.id, task_count) => {
                corrupt_answer()
            }
            report => report,
        }
    }

    /// Asks after a job and waits for its end.
    pub(crate) async fn poll(&self, ticket: Ticket, wait_ms: u64) -> JobReport {
        match self
            .follow(Identity::of_ticket(ticket), None, wait_ms)
            .await
        {
            JobReport::Ended(answer) if !answer.is_complete(&ticket.id, answer.outcomes.len()) => {
                corrupt_answer()
            }
            report => report,
        }
    }

    /// Gives a job up and returns its final answer.
    pub(crate) async fn cancel(&self, ticket: Ticket) -> JobReport {
        let started_at = self.timer.now();
        loop {
            match self.call_home(ticket, PeerRequest::Cancel { ticket }).await {
                Ok(report) => return report,
                Err(verdict) if self.waited_ms(started_at) >= HOME_UNREACHABLE_MS => {
                    return JobReport::Verdict(verdict);
                }
                Err(_) => sleep(Duration::from_millis(RECALL_PAUSE_MS)).await,
            }
        }
    }

    /// Calls the home again and again until the job ends or the wait is over.
    ///
    /// Every call is idempotent under the ticket, so a lost call is simply made again: this
    /// guards against connections that break or go silent while the job runs.
    async fn follow(
        &self,
        identity: Identity,
        mut spec: Option<JobSpec>,
        wait_ms: u64,
    ) -> JobReport {
        let ticket = identity.ticket;
        let started_at = self.timer.now();
        let mut service = spec.as_ref().map(|spec| spec.service.clone());
        let mut failing_since = None;
        loop {
            let waited_ms = self.waited_ms(started_at);
            let call_wait_ms = wait_ms.saturating_sub(waited_ms).min(CALL_WAIT_MS);
            let mut request = self.follow_request(identity, spec.as_ref(), &service, call_wait_ms);
            if let PeerRequest::Submit(submission) = &mut request {
                // A submission that is sent again has that much less time left.
                let left_ms = submission.spec.deadline_ms.saturating_sub(waited_ms);
                submission.spec.deadline_ms = left_ms.max(1);
            }
            match self.call_home(ticket, request).await {
                Ok(JobReport::Running { ended, total }) => {
                    failing_since = None;
                    // The home has the job: from here on it is only asked after.
                    service = spec.take().map(|spec| spec.service).or(service);
                    if self.waited_ms(started_at) >= wait_ms {
                        return JobReport::Running { ended, total };
                    }
                }
                Ok(report) => return report,
                Err(verdict) => {
                    self.metrics.count(Counter::Retries, verdict.reason());
                    let since = *failing_since.get_or_insert_with(|| self.timer.now());
                    let out_of_time = self.waited_ms(started_at) >= wait_ms.max(RECALL_PAUSE_MS);
                    if self.waited_ms(since) >= HOME_UNREACHABLE_MS || out_of_time {
                        return JobReport::Verdict(verdict);
                    }
                    sleep(Duration::from_millis(RECALL_PAUSE_MS)).await;
                }
            }
        }
    }

    fn follow_request(
        &self,
        identity: Identity,
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
                by_key: identity.by_key,
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

    /// One call to the ticket's home; an error is worth another call.
    async fn call_home(&self, ticket: Ticket, request: PeerRequest) -> Result<JobReport, Verdict> {
        let addr = match self.state.locate(ticket.id.home) {
            HomeLocation::At(addr) => addr,
            HomeLocation::Replaced => {
                let verdict = Verdict::may_have_run(MayHaveRunReason::HomeLost);
                return Ok(JobReport::Verdict(verdict));
            }
            HomeLocation::Unknown => return Err(home_unreachable()),
        };
        let limit = Duration::from_millis(CALL_WAIT_MS + CALL_GRACE_MS);
        match timeout(limit, self.network.call(addr, request)).await {
            Ok(Ok(PeerReply::Job(status))) => {
                self.state.call_answered(ticket.id.home);
                Ok(report(status))
            }
            Ok(Ok(_)) => Err(home_unreachable()),
            Ok(Err(PeerError::Unreachable(_) | PeerError::OutcomeUnknown(_))) | Err(_) => {
                self.state.call_failed(ticket.id.home);
                Err(home_unreachable())
            }
        }
    }

    fn waited_ms(&self, since: crate::core::time::Instant) -> u64 {
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
