//! Responses to clients: status, headers and JSON of a verdict.

use {
    crate::{
        core::{
            job::{JobAnswer, TaskOutcome},
            ticket::Ticket,
            verdict::{MayHaveRunReason, NotRunReason, Verdict},
        },
        entry::JobReport,
    },
    poem::{Response, http::StatusCode},
    serde::Serialize,
};

/// Header with the verdict: `done`, `not-run`, `may-have-run` or `running`.
pub(crate) const VERDICT_HEADER: &str = "rattanslip-verdict";
/// Header with the verdict's reason.
pub(crate) const REASON_HEADER: &str = "rattanslip-reason";
/// Header with the retry delay in milliseconds.
pub(crate) const RETRY_AFTER_MS_HEADER: &str = "rattanslip-retry-after-ms";
/// Header with a ticket for the client's next job.
pub(crate) const NEXT_TICKET_HEADER: &str = "rattanslip-next-ticket";
/// Standard header with the retry delay in whole seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";

#[derive(Debug, Serialize)]
struct TaskJson<'a> {
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

#[derive(Debug, Default, Serialize)]
struct ResponseJson<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    verdict: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    reason: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    retry_after_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    task_count: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ended: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<TaskJson<'a>>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Rejection of a request.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) verdict: Verdict,
    /// Human-readable details; may be empty.
    pub(crate) message: String,
}

impl Refusal {
    /// A rejection without a retry delay.
    pub(crate) fn new(reason: NotRunReason, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::refused(reason),
            message: message.into(),
        }
    }

    /// A rejection with a retry delay.
    pub(crate) const fn retry_after(reason: NotRunReason, retry_after_ms: u64) -> Self {
        Self {
            verdict: Verdict::NotRun {
                reason,
                retry_after_ms,
            },
            message: String::new(),
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn response(&self) -> Response {
        refusal_response(self.verdict, &self.message)
    }
}

fn refusal_response(verdict: Verdict, message: &str) -> Response {
    let json = ResponseJson {
        verdict: verdict.as_str(),
        reason: verdict.reason(),
        retry_after_ms: verdict.retry_after_ms(),
        message: Some(message).filter(|message| !message.is_empty()),
        ..ResponseJson::default()
    };
    respond(verdict, &json)
}

/// Builds the response about a job.
pub(crate) fn job_response(ticket: Ticket, report: &JobReport) -> Response {
    match report {
        JobReport::Ended(answer) => ended(ticket, answer),
        JobReport::Running { ended, total } => running(ticket, *ended, *total),
        JobReport::Unknown => unknown(ticket),
        JobReport::Verdict(verdict) => {
            let json = ResponseJson {
                ticket: Some(ticket.to_string()),
                verdict: verdict.as_str(),
                reason: verdict.reason(),
                retry_after_ms: verdict.retry_after_ms(),
                ..ResponseJson::default()
            };
            respond(*verdict, &json)
        }
    }
}

/// Builds the response to a single request: the plain output, or the verdict as JSON.
pub(crate) fn request_response(ticket: Ticket, report: &JobReport) -> Response {
    if let JobReport::Ended(answer) = report
        && let [TaskOutcome::Done { output }] = answer.outcomes.as_slice()
    {
        return Response::builder()
            .header(VERDICT_HEADER, answer.verdict.as_str())
            .content_type("text/plain; charset=utf-8")
            .body(output.clone());
    }
    job_response(ticket, report)
}

fn ended(ticket: Ticket, answer: &JobAnswer) -> Response {
    let json = ResponseJson {
        ticket: Some(ticket.to_string()),
        verdict: answer.verdict.as_str(),
        reason: answer.verdict.reason(),
        retry_after_ms: answer.verdict.retry_after_ms(),
        task_count: Some(answer.outcomes.len()),
        digest: Some(blake3::Hash::from_bytes(answer.digest).to_hex().to_string()),
        tasks: answer.outcomes.iter().map(task_json).collect(),
        ..ResponseJson::default()
    };
    respond(answer.verdict, &json)
}

fn task_json(outcome: &TaskOutcome) -> TaskJson<'_> {
    match outcome {
        TaskOutcome::Done { output } => TaskJson {
            verdict: "done",
            output: Some(output),
            reason: None,
        },
        TaskOutcome::Failed { message } => TaskJson {
            verdict: "failed",
            output: Some(message),
            reason: Some(MayHaveRunReason::TaskFailed.as_str()),
        },
        TaskOutcome::NotRun { reason } => TaskJson {
            verdict: "not-run",
            output: None,
            reason: Some(reason.as_str()),
        },
        TaskOutcome::MayHaveRun { reason } => TaskJson {
            verdict: "may-have-run",
            output: None,
            reason: Some(reason.as_str()),
        },
    }
}

fn running(ticket: Ticket, ended: u16, total: u16) -> Response {
    let json = ResponseJson {
        ticket: Some(ticket.to_string()),
        verdict: "running",
        task_count: Some(usize::from(total)),
        ended: Some(ended),
        ..ResponseJson::default()
    };
    Response::builder()
        .status(StatusCode::ACCEPTED)
        .header(VERDICT_HEADER, "running")
        .content_type("application/json")
        .body(body(&json))
}

fn unknown(ticket: Ticket) -> Response {
    let json = ResponseJson {
        ticket: Some(ticket.to_string()),
        verdict: "not-run",
        reason: "not_submitted",
        ..ResponseJson::default()
    };
    Response::builder()
        .status(StatusCode::NOT_FOUND)
        .header(VERDICT_HEADER, "not-run")
        .header(REASON_HEADER, "not_submitted")
        .content_type("application/json")
        .body(body(&json))
}

fn body(json: &ResponseJson<'_>) -> String {
    let mut text = serde_json::to_string(json).unwrap_or_default();
    text.push('\n');
    text
}

fn respond(verdict: Verdict, json: &ResponseJson<'_>) -> Response {
    let mut response = Response::builder()
        .status(status_of(verdict))
        .header(VERDICT_HEADER, verdict.as_str())
        .content_type("application/json");
    if verdict.reason() != "" {
        response = response.header(REASON_HEADER, verdict.reason());
    }
    let retry_after_ms = verdict.retry_after_ms();
    if retry_after_ms > 0 {
        response = response
            .header(RETRY_AFTER_MS_HEADER, retry_after_ms)
            .header(RETRY_AFTER_HEADER, retry_after_ms.div_ceil(1_000));
    }
    response.body(body(json))
}

/// Maps a verdict to an HTTP status.
pub(super) fn status_of(verdict: Verdict) -> StatusCode {
    match verdict {
        Verdict::Done => StatusCode::OK,
        Verdict::NotRun { reason, .. } => not_run_status(reason),
        Verdict::MayHaveRun { reason, .. } => may_have_run_status(reason),
    }
}

const fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::BadRequest
        | NotRunReason::TaskCount
        | NotRunReason::TicketMissing
        | NotRunReason::TicketMalformed => StatusCode::BAD_REQUEST,
        NotRunReason::TicketForged => StatusCode::FORBIDDEN,
        NotRunReason::UnknownService => StatusCode::NOT_FOUND,
        NotRunReason::TicketReused | NotRunReason::Cancelled => StatusCode::CONFLICT,
        NotRunReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunReason::ImpossibleTask => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::Overloaded | NotRunReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::NoTickets
        | NotRunReason::NoConfiguration
        | NotRunReason::NoWorkers
        | NotRunReason::DeadlinePassed
        | NotRunReason::JobFailed
        | NotRunReason::SlotsFull
        | NotRunReason::NoPermit
        | NotRunReason::Leaving
        | NotRunReason::BackendDown
        | NotRunReason::BackendRefused
        | NotRunReason::Fenced
        | NotRunReason::StoreUnavailable
        | NotRunReason::ClaimBudget
        | NotRunReason::HomeUnreachable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn may_have_run_status(reason: MayHaveRunReason) -> StatusCode {
    match reason {
        MayHaveRunReason::TicketExpired | MayHaveRunReason::AnswerDropped => StatusCode::GONE,
        MayHaveRunReason::Cancelled => StatusCode::CONFLICT,
        MayHaveRunReason::DeadlinePassed | MayHaveRunReason::HomeUnreachable => {
            StatusCode::GATEWAY_TIMEOUT
        }
        MayHaveRunReason::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        MayHaveRunReason::TaskFailed
        | MayHaveRunReason::JobFailed
        | MayHaveRunReason::BackendLost
        | MayHaveRunReason::RunnerLost
        | MayHaveRunReason::HomeLost
        | MayHaveRunReason::AnswerCorrupt => StatusCode::BAD_GATEWAY,
    }
}
