//! Client that submits jobs and classifies the responses.

use {
    super::{schedule::PlannedJob, ticket_pool::TicketPool},
    crate::{
        adapters::http::{
            HttpClient, HttpClientResponse, NEXT_TICKET_HEADER, REASON_HEADER, TEAM_HEADER,
            TICKET_HEADER, VERDICT_HEADER,
        },
        cli::LoadArgs,
        core::{job::TaskRef, ticket::Ticket},
    },
    http::Method,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

/// Attempts per job of a client that retries regardless of the verdict.
const MAX_BLIND_ATTEMPTS: usize = 2;
/// Pause before a blind retry.
const BLIND_RETRY_INTERVAL_MS: u64 = 50;
/// Time after the deadline until a missing response counts as lost.
const RESPONSE_GRACE_MS: u64 = 3_000;

/// Result of one submission of a job, as seen by the client.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Ticket of the submission.
    pub(crate) ticket: Option<Ticket>,
    /// Verdict and reason, or the transport error.
    pub(crate) verdict: String,
    /// Whether the job's verdict is "not run".
    pub(crate) not_run: bool,
    /// Indexes of the tasks whose own verdict is "not run".
    pub(crate) not_run_tasks: Vec<u16>,
    /// Whether no verdict was received.
    pub(crate) lost: bool,
    /// Whether the verdict is "done" but an output is missing or wrong.
    pub(crate) partial: bool,
}

impl Attempt {
    /// Whether the job's verdict is "done".
    pub(crate) fn is_done(&self) -> bool {
        self.verdict == "done"
    }

    /// Name under which backend servers record a task of this job.
    pub(crate) fn task_name(&self, index: u16) -> Option<String> {
        self.ticket.map(|ticket| {
            TaskRef {
                ticket: ticket.id,
                index,
            }
            .to_string()
        })
    }
}

/// Attempts and response time of a job.
#[derive(Debug)]
pub(crate) struct JobResult {
    /// Index in the schedule.
    pub(crate) number: usize,
    /// Attempts in the order sent.
    pub(crate) attempts: Vec<Attempt>,
    /// Time from the planned arrival to the last response.
    pub(crate) response_us: u64,
}

/// A client of the deployment.
#[derive(Debug)]
pub(crate) struct LoadClient {
    pub(crate) http: HttpClient,
    pub(crate) args: LoadArgs,
    pub(crate) tickets: TicketPool,
}

impl LoadClient {
    /// Sends a job and waits for its response; retries if blind retries are enabled.
    pub(crate) async fn run_job(
        &self,
        number: usize,
        job: &PlannedJob,
        arrival: Instant,
        cancel_at: Instant,
    ) -> JobResult {
        let mut attempts = Vec::new();
        let max_attempts = if self.args.blind_retry {
            MAX_BLIND_ATTEMPTS
        } else {
            1
        };
        for retry in 0..max_attempts {
            let entry = self.args.entries[(number + retry) % self.args.entries.len()];
            let attempt = self.send_job(entry, number, job, cancel_at).await;
            let done = attempt.is_done();
            attempts.push(attempt);
            if done {
                break;
            }
            if retry + 1 < max_attempts {
                sleep(Duration::from_millis(BLIND_RETRY_INTERVAL_MS)).await;
            }
        }
        JobResult {
            number,
            attempts,
            response_us: u64::try_from(arrival.elapsed().as_micros()).unwrap_or(u64::MAX),
        }
    }

    async fn send_job(
        &self,
        entry: SocketAddr,
        number: usize,
        job: &PlannedJob,
        cancel_at: Instant,
    ) -> Attempt {
        let Some(ticket) = self.tickets.acquire(&self.http, entry).await else {
            return failed_attempt(None, "not-run no_ticket_in_hand", false);
        };
        let parsed = ticket.parse().ok();
        let limit = Duration::from_millis(job.deadline_ms + RESPONSE_GRACE_MS);
        let headers = [
            (TICKET_HEADER, ticket.as_str()),
            (TEAM_HEADER, self.args.team.as_str()),
        ];
        let body = job_body(&self.args, number, job);
        let sending = self
            .http
            .send(Method::POST, entry, "/v1/jobs", &headers, body);
        let response = async {
            if !job.cancelled {
                return timeout(limit, sending).await;
            }
            tokio::pin!(sending);
            tokio::select! {
                reply = &mut sending => return Ok(reply),
                () = sleep_until(cancel_at) => {}
            }
            let path = format!("/v1/jobs/{ticket}");
            // The response to the submission carries the job's outcome.
            let _ = self
                .http
                .send(Method::DELETE, entry, &path, &[], String::new())
                .await;
            timeout(limit, sending).await
        };
        match response.await {
            Ok(Ok(reply)) => {
                self.tickets.add(reply.header(NEXT_TICKET_HEADER));
                parse_attempt(parsed, &reply, number, job)
            }
            Ok(Err(_)) => failed_attempt(parsed, "unreachable", true),
            Err(_) => failed_attempt(parsed, "no answer", true),
        }
    }
}

fn failed_attempt(ticket: Option<Ticket>, verdict: &str, lost: bool) -> Attempt {
    Attempt {
        ticket,
        verdict: verdict.to_owned(),
        not_run: false,
        not_run_tasks: Vec::new(),
        lost,
        partial: false,
    }
}

fn job_body(args: &LoadArgs, number: usize, job: &PlannedJob) -> String {
    let tasks: Vec<Value> = job
        .tasks
        .iter()
        .enumerate()
        .map(|(index, task)| {
            let mut body = json!({
                "input": format!("{} {}", task.run_ms, expected_output(number, index)),
                "declared_run_ms": task.declared_ms,
            });
            if let Some(memory_mb) = job.memory_mb {
                body["memory_mb"] = json!(memory_mb);
            }
            body
        })
        .collect();
    json!({
        "service": args.service,
        "deadline_ms": job.deadline_ms,
        "repeatable": args.repeatable,
        "tasks": tasks,
    })
    .to_string()
}

fn expected_output(number: usize, index: usize) -> String {
    format!("job {number} task {index}")
}

fn parse_attempt(
    ticket: Option<Ticket>,
    reply: &HttpClientResponse,
    number: usize,
    job: &PlannedJob,
) -> Attempt {
    let verdict = reply.header(VERDICT_HEADER);
    let reason = reply.header(REASON_HEADER);
    let response: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    let tasks = response["tasks"].as_array().map_or(&[][..], Vec::as_slice);
    let outputs_match = tasks.len() == job.tasks.len()
        && tasks
            .iter()
            .enumerate()
            .all(|(index, task)| task["output"] == expected_output(number, index));
    let not_run_tasks = tasks
        .iter()
        .zip(0u16..)
        .filter(|(task, _)| task["verdict"] == "not-run")
        .map(|(_, index)| index)
        .collect();
    Attempt {
        ticket,
        verdict: format!("{verdict} {reason}").trim_end().to_owned(),
        not_run: verdict == "not-run",
        not_run_tasks,
        lost: verdict.is_empty(),
        partial: verdict == "done" && !outputs_match,
    }
}
