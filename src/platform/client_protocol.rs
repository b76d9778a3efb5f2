//! Clients' calls and the answers to them.

use {
    super::{PlatformError, job_body::parse_job},
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
pub(crate) struct ClientProtocol;

impl ClientProtocol {
    /// What a call to a queue wants; `rest` is the path after the queue's prefix.
    pub(crate) fn parse_action(method: &Method, rest: &str) -> ClientAction {
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
    pub(crate) fn parse_job(request: &HttpRequest) -> Result<JobRequest, PlatformError> {
        parse_job(&request.body)
    }

    /// How long the client waits, if it says so.
    pub(crate) fn time_left_ms(request: &HttpRequest) -> Option<u64> {
        request.header(DEADLINE_HEADER)?.parse().ok()
    }

    /// The final answer to a job.
    ///
    /// A client sends the job again after a 504, and takes a 429 or 503 as word that it never runs.
    pub(crate) fn outcome_response(outcome: JobOutcome) -> HttpResponse {
        match outcome {
            JobOutcome::Completed => HttpResponse::json(StatusCode::OK, r#"{"state":"completed"}"#),
            JobOutcome::Failed => HttpResponse::json(StatusCode::OK, r#"{"state":"failed"}"#),
            JobOutcome::NotRun {
                reason,
                retry_after_ms,
            } => Self::rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                reason.as_str(),
                retry_after_ms,
            ),
            JobOutcome::GivenUp(reason) => {
                Self::rejection(StatusCode::GATEWAY_TIMEOUT, reason.as_str(), 0)
            }
        }
    }

    /// The answer while there is no configuration to go by.
    pub(crate) fn not_configured(retry_after_ms: u64) -> HttpResponse {
        Self::rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            retry_after_ms,
        )
    }

    /// The answer for a queue that does not exist.
    pub(crate) fn no_route() -> HttpResponse {
        Self::rejection(StatusCode::NOT_FOUND, "no_route", 0)
    }

    /// The answer for a job that is not known: nothing is kept of jobs that have ended.
    pub(crate) fn no_job() -> HttpResponse {
        Self::rejection(StatusCode::GONE, "no_job", 0)
    }

    /// The answer to a call that can't be understood.
    pub(crate) fn bad_request() -> HttpResponse {
        Self::rejection(StatusCode::BAD_REQUEST, "bad_request", 0)
    }

    /// How many jobs of a queue wait.
    pub(crate) fn pending(jobs: usize) -> HttpResponse {
        HttpResponse::json(StatusCode::OK, format!(r#"{{"pending":{jobs}}}"#))
    }

    fn rejection(status: StatusCode, reason: &str, retry_after_ms: u64) -> HttpResponse {
        let response = HttpResponse::json(status, format!(r#"{{"error":"{reason}"}}"#));
        if retry_after_ms == 0 {
            return response;
        }
        let retry_after_s = retry_after_ms.div_ceil(1_000);
        response.with_header(http::header::RETRY_AFTER, &retry_after_s.to_string())
    }
}
