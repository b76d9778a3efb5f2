//! Tests of job forwarding with lost calls, corrupt answers and an unresponsive home.

#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a test that cannot be set up must fail loudly"
)]

use {
    crate::{
        core::{
            job::{JobAnswer, JobStatus},
            message::{PeerReply, PeerRequest},
            ticket::{AgentId, Ticket, TicketGrant},
            verdict::{MayHaveRunReason, Verdict},
        },
        entry::{
            JobIdentity, JobReport, Jobs,
            tests::fakes::{NoMetrics, answer, grant_of, spec, state_with_homes},
        },
        ports::{PeerError, PeerNetwork, SessionIo},
    },
    async_trait::async_trait,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

const HOME: AgentId = AgentId(7);

/// Behaviour of the home or the connection for one call.
#[derive(Debug, Clone)]
enum CallBehaviour {
    Reply(JobStatus),
    Lost,
    NoReply,
}

/// A network with a scripted behaviour per call; the last one repeats.
#[derive(Debug)]
struct ScriptedNetwork {
    script: Mutex<VecDeque<CallBehaviour>>,
    calls: Mutex<Vec<PeerRequest>>,
}

#[async_trait]
impl PeerNetwork for ScriptedNetwork {
    async fn call(&self, _to: SocketAddr, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
        let behaviour = {
            let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
            if script.len() > 1 {
                script.pop_front()
            } else {
                script.front().cloned()
            }
        };
        match behaviour {
            Some(CallBehaviour::Reply(status)) => Ok(PeerReply::Job(status)),
            Some(CallBehaviour::Lost) => Err(PeerError::OutcomeUnknown("cut".to_owned())),
            Some(CallBehaviour::NoReply) | None => std::future::pending().await,
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

fn grant() -> TicketGrant {
    grant_of(HOME)
}

fn jobs(script: Vec<CallBehaviour>) -> (Jobs, Arc<ScriptedNetwork>) {
    let (state, timer) = state_with_homes(&[HOME]);
    let network = Arc::new(ScriptedNetwork {
        script: Mutex::new(script.into()),
        calls: Mutex::new(Vec::new()),
    });
    let jobs = Jobs {
        state,
        network: network.clone(),
        timer,
        metrics: Arc::new(NoMetrics),
    };
    (jobs, network)
}

fn ended(answer: JobAnswer) -> CallBehaviour {
    CallBehaviour::Reply(JobStatus::Ended(Arc::new(answer)))
}

fn verdict_of(report: &JobReport) -> Verdict {
    match report {
        JobReport::Ended(answer) => answer.verdict,
        JobReport::Verdict(verdict) => *verdict,
        other => panic!("no verdict but {other:?}"),
    }
}

fn truncated(ticket: Ticket) -> JobAnswer {
    let mut answer = answer(ticket, 3);
    answer.outcomes.pop();
    answer
}

fn swapped(ticket: Ticket) -> JobAnswer {
    let mut answer = answer(ticket, 3);
    answer.outcomes.swap(0, 1);
    answer
}

/// An answer of another job, or with missing or swapped tasks, must not reach the client but must
/// be reported as "may have run".
macro_rules! corrupt_answer_cases {
    ($($name:ident: $answer:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let ticket = grant().ticket(0);
                let make: fn(Ticket) -> JobAnswer = $answer;
                let (jobs, _) = jobs(vec![ended(make(ticket))]);
                let report = jobs.submit(JobIdentity::of_ticket(ticket), spec(3), 5_000).await;
                assert_eq!(verdict_of(&report).reason(), MayHaveRunReason::AnswerCorrupt.as_str());
            }
        )+
    };
}

corrupt_answer_cases! {
    an_answer_of_another_job_is_rejected: |_| answer(grant().ticket(1), 3);
    a_truncated_answer_is_rejected: truncated;
    an_answer_with_a_missing_task_is_rejected: |ticket| answer(ticket, 2);
    an_answer_with_swapped_tasks_is_rejected: swapped;
}

/// If the connection breaks after the submission arrived, the entry must submit again under the same
/// ticket, and after the reply only poll.
#[tokio::test]
async fn a_lost_submission_is_retried_under_the_same_ticket() {
    let ticket = grant().ticket(0);
    let running = JobStatus::Running { ended: 1, total: 3 };
    let script = vec![
        CallBehaviour::Lost,
        CallBehaviour::Reply(running),
        ended(answer(ticket, 3)),
    ];
    let (jobs, network) = jobs(script);
    let report = jobs
        .submit(JobIdentity::of_ticket(ticket), spec(3), 5_000)
        .await;
    assert_eq!(verdict_of(&report), Verdict::Done);
    let calls = network.calls.lock().unwrap_or_else(PoisonError::into_inner);
    let submitted =
        |call: &PeerRequest| matches!(call, PeerRequest::Submit(s) if s.ticket == ticket);
    assert!(submitted(&calls[0]) && submitted(&calls[1]));
    let deadline_ms = |call: &PeerRequest| match call {
        PeerRequest::Submit(submission) => submission.spec.deadline_ms,
        _ => 0,
    };
    assert!(deadline_ms(&calls[1]) < deadline_ms(&calls[0]));
    assert!(matches!(&calls[2], PeerRequest::Poll { ticket: polled, .. } if *polled == ticket));
}

/// If a home hangs while its connection still answers pings, the client must get "may have run"
/// with a retry delay instead of waiting forever.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_home_does_not_block_the_client() {
    let ticket = grant().ticket(0);
    let (jobs, _) = jobs(vec![CallBehaviour::NoReply]);
    let report = tokio::time::timeout(
        Duration::from_secs(60),
        jobs.submit(JobIdentity::of_ticket(ticket), spec(1), 4_000),
    )
    .await
    .expect("a report");
    let verdict = verdict_of(&report);
    assert_eq!(verdict.reason(), MayHaveRunReason::HomeUnreachable.as_str());
    assert!(verdict.retry_after_ms() > 0);
}
