//! What clients call.

use {
    super::{
        answer::{
            NEXT_TICKET_HEADER, VERDICT_HEADER, bad_request, job_response, refusal,
            request_response,
        },
        entry_api::{Api, EntryApi},
        job_body::{JobBody, TaskBody},
    },
    crate::{
        core::{
            config::Service,
            job::{JobSpec, MAX_TASKS},
            ticket::Ticket,
            verdict::{NotRunReason, Verdict},
        },
        ports::Counter,
    },
    poem::{
        Body, Request, Response, handler,
        http::HeaderValue,
        web::{Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Carries a job's ticket.
pub(crate) const TICKET_HEADER: &str = "rattanslip-ticket";
/// Carries the client's own key for a job.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Names the team on whose quota a request draws.
pub(crate) const TEAM_HEADER: &str = "rattanslip-team";
/// Most tickets handed out at a time.
const MAX_TICKETS: usize = 1_000;
/// Longest key that a client may choose, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// When to come back while no home grants tickets, in milliseconds.
const TICKET_RETRY_AFTER_MS: u64 = 500;

#[derive(Debug, Deserialize)]
pub(crate) struct TicketsQuery {
    count: Option<usize>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WaitQuery {
    wait_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RequestQuery {
    deadline_ms: Option<u64>,
    repeatable: Option<bool>,
}

#[derive(Debug, Serialize)]
struct TicketsJson {
    tickets: Vec<String>,
}

/// Why a request is answered without going further.
type Early = Response;

/// `POST /v1/tickets?count=N`
#[handler]
pub(crate) fn tickets(api: Api<'_>, Query(query): Query<TicketsQuery>) -> Response {
    let count = query.count.unwrap_or(1);
    if !(1..=MAX_TICKETS).contains(&count) {
        return bad_request(&format!("count must be from 1 to {MAX_TICKETS}"));
    }
    let tickets = api.state.mint(count);
    if tickets.is_empty() {
        return count_refusal(&api, no_tickets(), "");
    }
    let json = TicketsJson {
        tickets: tickets.iter().map(Ticket::to_string).collect(),
    };
    poem::IntoResponse::into_response(Json(json))
}

/// `POST /v1/jobs?wait_ms=N`
#[handler]
pub(crate) async fn submit_job(
    api: Api<'_>,
    request: &Request,
    Query(query): Query<WaitQuery>,
    body: Body,
) -> Response {
    match submit(&api, request, query, body).await {
        Ok(response) | Err(response) => with_next_ticket(&api, response),
    }
}

async fn submit(
    api: &Arc<EntryApi>,
    request: &Request,
    query: WaitQuery,
    body: Body,
) -> Result<Response, Early> {
    let text = read_body(api, body).await?;
    let job: JobBody = serde_json::from_str(&text).map_err(|error| {
        count_refusal(
            api,
            Verdict::refused(NotRunReason::BadRequest),
            &error.to_string(),
        )
    })?;
    let service = known_service(api, &job.service)?;
    let spec = job_spec(api, request, job, &service)?;
    let ticket = identity(api, request, &spec.team).await?;
    let wait_ms = query
        .wait_ms
        .unwrap_or(spec.deadline_ms)
        .min(spec.deadline_ms);
    let report = api.jobs.submit(ticket, spec, wait_ms).await;
    Ok(counted(api, job_response(ticket, &report)))
}

/// `GET /v1/jobs/TICKET?wait_ms=N`
#[handler]
pub(crate) async fn poll_job(
    api: Api<'_>,
    Path(ticket): Path<String>,
    Query(query): Query<WaitQuery>,
) -> Response {
    match parse_ticket(&api, &ticket) {
        Ok(ticket) => {
            let wait_ms = query.wait_ms.unwrap_or(0).min(api.max_deadline_ms);
            job_response(ticket, &api.jobs.poll(ticket, wait_ms).await)
        }
        Err(response) => response,
    }
}

/// `DELETE /v1/jobs/TICKET`
#[handler]
pub(crate) async fn cancel_job(api: Api<'_>, Path(ticket): Path<String>) -> Response {
    match parse_ticket(&api, &ticket) {
        Ok(ticket) => job_response(ticket, &api.jobs.cancel(ticket).await),
        Err(response) => response,
    }
}

/// `POST /v1/requests/SERVICE?deadline_ms=N&repeatable=true`
#[handler]
pub(crate) async fn single_request(
    api: Api<'_>,
    request: &Request,
    Path(service): Path<String>,
    Query(query): Query<RequestQuery>,
    body: Body,
) -> Response {
    match run_single(&api, request, service, query, body).await {
        Ok(response) | Err(response) => with_next_ticket(&api, response),
    }
}

async fn run_single(
    api: &Arc<EntryApi>,
    request: &Request,
    name: String,
    query: RequestQuery,
    body: Body,
) -> Result<Response, Early> {
    let input = read_body(api, body).await?;
    let service = known_service(api, &name)?;
    let job = JobBody {
        service: name,
        deadline_ms: query.deadline_ms,
        repeatable: query.repeatable,
        tasks: vec![TaskBody {
            input,
            ..TaskBody::default()
        }],
    };
    let spec = job_spec(api, request, job, &service)?;
    let has_identity = header(request, TICKET_HEADER).is_some()
        || header(request, IDEMPOTENCY_KEY_HEADER).is_some();
    let ticket = if spec.repeatable && !has_identity {
        api.state
            .mint(1)
            .pop()
            .ok_or_else(|| count_refusal(api, no_tickets(), ""))?
    } else {
        identity(api, request, &spec.team).await?
    };
    let wait_ms = spec.deadline_ms;
    let report = api.jobs.submit(ticket, spec, wait_ms).await;
    Ok(counted(api, request_response(ticket, &report)))
}

async fn read_body(api: &Arc<EntryApi>, body: Body) -> Result<String, Early> {
    let bytes = body
        .into_bytes_limit(api.max_body_bytes)
        .await
        .map_err(|error| match error {
            poem::error::ReadBodyError::PayloadTooLarge => {
                let limit = format!("at most {} bytes", api.max_body_bytes);
                count_refusal(api, Verdict::refused(NotRunReason::BodyTooLarge), &limit)
            }
            other => count_refusal(
                api,
                Verdict::refused(NotRunReason::BadRequest),
                &other.to_string(),
            ),
        })?;
    String::from_utf8(bytes.to_vec()).map_err(|_| {
        let verdict = Verdict::refused(NotRunReason::BadRequest);
        count_refusal(api, verdict, "the body must be UTF-8")
    })
}

fn known_service(api: &Arc<EntryApi>, name: &str) -> Result<Service, Early> {
    api.state.service(name).map_err(|reason| {
        let message = format!("service \"{name}\"");
        let retry_after_ms = match reason {
            NotRunReason::NoConfiguration => TICKET_RETRY_AFTER_MS,
            _ => 0,
        };
        let verdict = Verdict::NotRun {
            reason,
            retry_after_ms,
        };
        count_refusal(api, verdict, &message)
    })
}

fn job_spec(
    api: &Arc<EntryApi>,
    request: &Request,
    job: JobBody,
    service: &Service,
) -> Result<JobSpec, Early> {
    let limit = service.max_tasks.min(MAX_TASKS);
    if !(1..=limit).contains(&job.tasks.len()) {
        let verdict = Verdict::refused(NotRunReason::TaskCount);
        let message = format!("a job of this service has 1 to {limit} tasks");
        return Err(count_refusal(api, verdict, &message));
    }
    let deadline_ms = job.deadline_ms.unwrap_or(service.default_deadline_ms);
    if !(1..=api.max_deadline_ms).contains(&deadline_ms) {
        let verdict = Verdict::refused(NotRunReason::BadRequest);
        let message = format!("deadline_ms must be from 1 to {}", api.max_deadline_ms);
        return Err(count_refusal(api, verdict, &message));
    }
    Ok(JobSpec {
        service: job.service,
        team: header(request, TEAM_HEADER).unwrap_or_default().to_owned(),
        deadline_ms,
        repeatable: job.repeatable.unwrap_or(service.repeatable),
        tasks: job
            .tasks
            .into_iter()
            .map(|task| task.into_spec(service.memory_mb, service.accelerators))
            .collect(),
    })
}

/// The ticket that the request carries, or the one that its key is bound to.
async fn identity(api: &Arc<EntryApi>, request: &Request, team: &str) -> Result<Ticket, Early> {
    if let Some(text) = header(request, TICKET_HEADER) {
        return parse_ticket(api, text);
    }
    let Some(key) = header(request, IDEMPOTENCY_KEY_HEADER) else {
        let verdict = Verdict::refused(NotRunReason::TicketMissing);
        let message = format!("send {TICKET_HEADER} or {IDEMPOTENCY_KEY_HEADER}");
        return Err(count_refusal(api, verdict, &message));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let verdict = Verdict::refused(NotRunReason::BadRequest);
        let message = format!("{IDEMPOTENCY_KEY_HEADER} has 1 to {MAX_KEY_BYTES} bytes");
        return Err(count_refusal(api, verdict, &message));
    }
    api.claims
        .ticket_for(team, key)
        .await
        .map_err(|verdict| count_refusal(api, verdict, ""))
}

fn parse_ticket(api: &Arc<EntryApi>, text: &str) -> Result<Ticket, Early> {
    text.parse()
        .map_err(|error: crate::core::ticket::TicketError| {
            let verdict = Verdict::refused(NotRunReason::TicketMalformed);
            count_refusal(api, verdict, &error.to_string())
        })
}

fn header<'r>(request: &'r Request, name: &str) -> Option<&'r str> {
    request.header(name)
}

const fn no_tickets() -> Verdict {
    Verdict::NotRun {
        reason: NotRunReason::NoTickets,
        retry_after_ms: TICKET_RETRY_AFTER_MS,
    }
}

fn count_refusal(api: &Arc<EntryApi>, verdict: Verdict, message: &str) -> Response {
    api.metrics.count(Counter::Refusals, verdict.reason());
    refusal(verdict, message)
}

fn counted(api: &Arc<EntryApi>, response: Response) -> Response {
    let verdict = match response.header(VERDICT_HEADER) {
        Some("done") => "done",
        Some("not-run") => "not-run",
        Some("running") => "running",
        _ => "may-have-run",
    };
    api.metrics.count(Counter::Answers, verdict);
    response
}

/// Gives the client its next ticket, so that the steady state has no extra round trip.
fn with_next_ticket(api: &Arc<EntryApi>, mut response: Response) -> Response {
    if let Some(ticket) = api.state.mint(1).pop()
        && let Ok(value) = HeaderValue::from_str(&ticket.to_string())
    {
        response.headers_mut().insert(NEXT_TICKET_HEADER, value);
    }
    response
}
