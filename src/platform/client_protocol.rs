//! The HTTP protocol of clients.

use {
    super::{PlatformError, job_body::parse_job, json::MAX_DURATION_MS},
    crate::{
        adapters::http::{HttpRequest, HttpResponse},
        core::{
            dispatch::JobOutcome,
            work::{JobNumber, JobRequest},
        },
    },
    http::{Method, StatusCode},
};

/// Header with the time that the client waits for the response, in milliseconds.
const DEADLINE_HEADER: &str = "rattanslip-deadline-ms";

/// The operation that a client requests.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientAction {
    Submit(JobNumber),
    /// Get the status of a job.
    Status(JobNumber),
    Cancel(JobNumber),
    /// Get the number of pending jobs.
    Pending,
    /// No supported operation.
    Unknown,
}

/// Parses clients' requests and builds the responses.
#[derive(Debug)]
pub(crate) struct ClientProtocol;

impl ClientProtocol {
    /// Parses the operation on a queue; `rest` is the path after the queue's prefix.
    pub(crate) fn parse_action(method: &Method, rest: &str) -> ClientAction {
        let id = JobNumber::parse(rest);
        match (method, id) {
            (&Method::POST, Some(id)) => ClientAction::Submit(id),
            (&Method::GET, Some(id)) => ClientAction::Status(id),
            (&Method::DELETE, Some(id)) => ClientAction::Cancel(id),
            (&Method::GET, None) if rest.is_empty() => ClientAction::Pending,
            _ => ClientAction::Unknown,
        }
    }

    /// Parses the job in a request's body.
    pub(crate) fn parse_job(body: &[u8]) -> Result<JobRequest, PlatformError> {
        parse_job(body)
    }

    /// How long the client waits; `None` if it doesn't specify a valid time.
    pub(crate) fn time_left_ms(request: &HttpRequest) -> Option<u64> {
        let time_left_ms: u64 = request.header(DEADLINE_HEADER)?.parse().ok()?;
        Some(time_left_ms.min(MAX_DURATION_MS))
    }

    /// The response with the final outcome of a job.
    ///
    /// Clients retry a job after a 504, and treat a 429 or 503 as a guarantee that it will not run.
    pub(crate) fn outcome_response(outcome: JobOutcome) -> HttpResponse {
        match outcome {
            JobOutcome::Completed => HttpResponse::json(StatusCode::OK, r#"{"state":"completed"}"#),
            JobOutcome::Failed | JobOutcome::FailedByCrashes => {
                HttpResponse::json(StatusCode::OK, r#"{"state":"failed"}"#)
            }
            JobOutcome::Cancelled => Self::cancelled(),
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

    /// The response for a job that is or was cancelled.
    pub(crate) fn cancelled() -> HttpResponse {
        HttpResponse::json(StatusCode::OK, r#"{"state":"cancelled"}"#)
    }

    /// The response while no configuration is loaded.
    pub(crate) fn not_configured(retry_after_ms: u64) -> HttpResponse {
        Self::rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            retry_after_ms,
        )
    }

    /// The response for an unknown queue.
    pub(crate) fn no_route() -> HttpResponse {
        Self::rejection(StatusCode::NOT_FOUND, "no_route", 0)
    }

    /// The response for an unknown job; finished jobs are not stored.
    pub(crate) fn no_job() -> HttpResponse {
        Self::rejection(StatusCode::GONE, "no_job", 0)
    }

    /// The response to an invalid request.
    pub(crate) fn bad_request() -> HttpResponse {
        Self::rejection(StatusCode::BAD_REQUEST, "bad_request", 0)
    }

    /// The response with the number of pending jobs of a queue.
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
