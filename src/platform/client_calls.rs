//! Clients' calls and the answers to them.

use {
    super::{PlatformError, job_body::read_job},
    crate::{
        adapters::http::{HttpRequest, HttpResponse},
        core::{
            dispatch::JobOutcome,
            work::{JobId, JobRequest},
        },
    },
    http::{Method, StatusCode},
};

/// Time that the client waits, in milliseconds.
const DEADLINE_HEADER: &str = "rattanslip-deadline-ms";

/// What a client wants of a queue.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientAction {
    /// Run a job.
    Submit(JobId),
    /// Tell how a job stands.
    Status(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell how many jobs wait.
    Pending,
    /// Nothing that is served.
    Unknown,
}

/// Translates clients' calls and answers.
#[derive(Debug)]
pub(crate) struct PlatformClients;

impl PlatformClients {
    /// What a call to a queue wants; `rest` is the path after the queue's prefix.
    pub(crate) fn action(method: &Method, rest: &str) -> ClientAction {
        let id = JobId::parse(rest);
        match (method, id) {
            (&Method::POST, Some(id)) => ClientAction::Submit(id),
            (&Method::GET, Some(id)) => ClientAction::Status(id),
            (&Method::DELETE, Some(id)) => ClientAction::Cancel(id),
            (&Method::GET, None) if rest.is_empty() => ClientAction::Pending,
            _ => ClientAction::Unknown,
        }
    }

    /// The job in a call's body.
    pub(crate) fn job(call: &HttpRequest) -> Result<JobRequest, PlatformError> {
        read_job(&call.body)
    }

    /// How long the client waits, if it says so.
    pub(crate) fn time_left_ms(call: &HttpRequest) -> Option<u64> {
        call.header(DEADLINE_HEADER)?.parse().ok()
    }

    /// The final answer to a job.
    ///
    /// A client sends the job again after a 504, and takes a 429 or 503 as word that it never runs.
    pub(crate) fn answer(answer: JobOutcome) -> HttpResponse {
        match answer {
            JobOutcome::Completed => HttpResponse::json(StatusCode::OK, r#"{"state":"completed"}"#),
            JobOutcome::Failed => HttpResponse::json(StatusCode::OK, r#"{"state":"failed"}"#),
            JobOutcome::NotRun {
                reason,
                retry_after_ms,
            } => Self::refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                reason.as_str(),
                retry_after_ms,
            ),
            JobOutcome::GivenUp(reason) => {
                Self::refusal(StatusCode::GATEWAY_TIMEOUT, reason.as_str(), 0)
            }
        }
    }

    /// The answer while there is no configuration to go by.
    pub(crate) fn not_configured(retry_after_ms: u64) -> HttpResponse {
        Self::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            retry_after_ms,
        )
    }

    /// The answer for a queue that does not exist.
    pub(crate) fn no_route() -> HttpResponse {
        Self::refusal(StatusCode::NOT_FOUND, "no_route", 0)
    }

    /// The answer for a job that is not known: nothing is kept of jobs that have ended.
    pub(crate) fn no_job() -> HttpResponse {
        Self::refusal(StatusCode::GONE, "no_job", 0)
    }

    /// The answer to a call that can't be understood.
    pub(crate) fn bad_request() -> HttpResponse {
        Self::refusal(StatusCode::BAD_REQUEST, "bad_request", 0)
    }

    /// How many jobs of a queue wait.
    pub(crate) fn pending(jobs: usize) -> HttpResponse {
        HttpResponse::json(StatusCode::OK, format!(r#"{{"pending":{jobs}}}"#))
    }

    fn refusal(status: StatusCode, reason: &str, retry_after_ms: u64) -> HttpResponse {
        let answer = HttpResponse::json(status, format!(r#"{{"error":"{reason}"}}"#));
        if retry_after_ms == 0 {
            return answer;
        }
        let retry_after_s = retry_after_ms.div_ceil(1_000);
        answer.with_header(http::header::RETRY_AFTER, &retry_after_s.to_string())
    }
}
