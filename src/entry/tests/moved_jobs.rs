//! Tests of repeatable jobs without a ticket of the client whose home can't be reached.

#![allow(
    clippy::expect_used,
    reason = "a test that cannot be set up must fail loudly"
)]

use {
    super::fakes::{NoMetrics, addr_of, answer, grant_of, spec, state_with_homes},
    crate::{
        core::{
            job::{JobSpec, JobStatus},
            message::{PeerReply, PeerRequest},
            ticket::AgentId,
            verdict::{MayHaveRunReason, Verdict},
        },
        entry::{JobIdentity, JobReport, Jobs},
        ports::{PeerError, PeerNetwork, SessionIo},
    },
    async_trait::async_trait,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

const WORKING_HOME: AgentId = AgentId(2);
const FAILED_HOMES: [AgentId; 2] = [AgentId(3), AgentId(4)];
const DEADLINE_MS: u64 = 2_000;
/// Far less than the time after which an unreachable home is reported.
const MAX_DELAY_MS: u128 = 500;

/// How the calls to the failed homes end.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Nothing is sent.
    Refused,
    /// The connection breaks after the submission was sent.
    Lost,
    /// The home takes the job and is gone with the next call.
    LostLater,
}

/// A network in which only [`WORKING_HOME`] completes jobs.
#[derive(Debug)]
struct FailingNetwork {
    failure: Failure,
    submitted_to: Mutex<Vec<SocketAddr>>,
}

impl FailingNetwork {
    /// Addresses to which jobs were submitted.
    fn submitted_to(&self) -> Vec<SocketAddr> {
        let addrs = self.submitted_to.lock();
        addrs.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[async_trait]
impl PeerNetwork for FailingNetwork {
    async fn call(&self, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let lost = Err(PeerError::OutcomeUnknown("cut".to_owned()));
        let PeerRequest::Submit(submission) = request else {
            return lost;
        };
        let mut submitted_to = self
            .submitted_to
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        submitted_to.push(to);
        if to == addr_of(WORKING_HOME) {
            let tasks = submission.spec.tasks.len();
            let answer = Arc::new(answer(submission.ticket, tasks));
            return Ok(PeerReply::Job(JobStatus::Ended(answer)));
        }
        match self.failure {
            Failure::Refused => Err(PeerError::Unreachable("refused".to_owned())),
            Failure::Lost => lost,
            Failure::LostLater => Ok(PeerReply::Job(JobStatus::Running { ended: 0, total: 1 })),
        }
    }

    async fn open_session(
        &self,
        _: SocketAddr,
        _: AgentId,
        _: u64,
    ) -> Result<SessionIo, PeerError> {
        Err(PeerError::Unreachable("no sessions here".to_owned()))
    }
}

fn jobs(homes: &[AgentId], failure: Failure) -> (Jobs, Arc<FailingNetwork>) {
    let (state, timer) = state_with_homes(homes);
    let network = Arc::new(FailingNetwork {
        failure,
        submitted_to: Mutex::default(),
    });
    let jobs = Jobs {
        state,
        network: network.clone(),
        timer,
        metrics: Arc::new(NoMetrics),
    };
    (jobs, network)
}

fn repeatable() -> JobSpec {
    JobSpec {
        repeatable: true,
        ..spec(1)
    }
}

/// A request must not wait for a failed home while others work, nor fail with it.
macro_rules! failed_home_cases {
    ($($name:ident: $failure:expr;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let [first, second] = FAILED_HOMES;
            let (jobs, network) = jobs(&[WORKING_HOME, first, second], $failure);
            // The home is chosen at random; after the first failure it gets no more work.
            for _ in 0..5 {
                let started_at = tokio::time::Instant::now();
                let run = jobs.run_repeatable(repeatable(), DEADLINE_MS).await;
                let (ticket, report) = run.expect("a home accepts work");
                let JobReport::Ended(answer) = report else {
                    assert_eq!(format!("{report:?}"), "an answer");
                    return;
                };
                assert_eq!(answer.verdict, Verdict::Done);
                assert_eq!(ticket.id.home, WORKING_HOME);
                assert!(started_at.elapsed().as_millis() <= MAX_DELAY_MS);
            }
            let failed = |addr: &SocketAddr| *addr != addr_of(WORKING_HOME);
            assert!(network.submitted_to().iter().any(failed));
        }
    )+};
}

failed_home_cases! {
    a_request_moves_on_from_a_home_that_refuses_connections: Failure::Refused;
    a_request_moves_on_from_a_home_that_is_lost_during_the_submission: Failure::Lost;
    a_request_moves_on_from_a_home_that_is_lost_while_the_task_runs: Failure::LostLater;
}

/// A request must not wait forever when all homes have failed.
#[tokio::test(start_paused = true)]
async fn a_request_without_a_reachable_home_is_answered() {
    let (jobs, _) = jobs(&FAILED_HOMES, Failure::Refused);
    let run = jobs.run_repeatable(repeatable(), 10_000).await;
    let (_, report) = run.expect("the failures aren't known yet");
    let JobReport::Verdict(verdict) = report else {
        assert_eq!(format!("{report:?}"), "a verdict");
        return;
    };
    assert_eq!(verdict.reason(), MayHaveRunReason::HomeUnreachable.as_str());
}

/// A job with a ticket of the client's must stay at its home: a copy may run there.
#[tokio::test(start_paused = true)]
async fn a_job_with_a_ticket_never_moves() {
    let [failed, _] = FAILED_HOMES;
    let (jobs, network) = jobs(&[WORKING_HOME, failed], Failure::Lost);
    let identity = JobIdentity::of_ticket(grant_of(failed).ticket(0));
    let report = jobs.submit(identity, repeatable(), DEADLINE_MS).await;
    assert!(matches!(report, JobReport::Verdict(_)), "{report:?}");
    let stayed = |addr: &SocketAddr| *addr == addr_of(failed);
    assert!(network.submitted_to().iter().all(stayed));
}
