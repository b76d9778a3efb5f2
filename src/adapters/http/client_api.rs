//! HTTP handlers for clients.

use {
    super::{
        entry_api::{Api, EntryApi},
        job_body::{JobBody, TaskBody},
        known_job::replace_if_known,
        response::{NEXT_TICKET_HEADER, Refusal, VERDICT_HEADER, job_response, request_response},
    },
    crate::{
        core::{
            config::Service,
            job::{JobSpec, MAX_TASKS},
            ticket::{Ticket, TicketError},
            verdict::NotRunReason,
        },
        entry::{JobIdentity, TicketSource},
        ports::Counter,
    },
    poem::{
        Body, IntoResponse, Request, Response, handler,
        http::HeaderValue,
        web::{Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
};

/// Header with a job's ticket.
pub(crate) const TICKET_HEADER: &str = "rattanslip-ticket";
/// Header with the client's own key for a job.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the team whose quota the request consumes.
pub(crate) const TEAM_HEADER: &str = "rattanslip-team";
/// Maximum number of tickets in one response.
const MAX_TICKETS: usize = 1_000;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Retry delay sent to clients while the entry has no tickets or no configuration.
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

/// `POST /v1/tickets?count=N`
#[handler]
pub(crate) fn get_tickets(api: Api<'_>, Query(query): Query<TicketsQuery>) -> Response {
    counted_response(&api, mint_tickets(&api, query.count.unwrap_or(1)))
}

fn mint_tickets(api: &EntryApi, count: usize) -> Result<Response, Refusal> {
    if !(1..=MAX_TICKETS).contains(&count) {
        let message = format!("count must be from 1 to {MAX_TICKETS}");
        return Err(Refusal::new(NotRunReason::BadRequest, message));
    }
    let tickets = api.state.mint(count);
    if tickets.is_empty() {
        return Err(no_tickets());
    }
    let json = TicketsJson {
        tickets: tickets.iter().map(Ticket::to_string).collect(),
    };
    Ok(Json(json).into_response())
}

/// `POST /v1/jobs?wait_ms=N`
#[handler]
pub(crate) async fn submit_job(
    api: Api<'_>,
    request: &Request,
    Query(query): Query<WaitQuery>,
    body: Body,
) -> Response {
    let result = submit(&api, request, query, body).await;
    let result = replace_if_known(&api, request, result).await;
    with_next_ticket(&api, counted_response(&api, result))
}

async fn submit(
    api: &EntryApi,
    request: &Request,
    query: WaitQuery,
    body: Body,
) -> Result<Response, Refusal> {
    let text = read_body(body).await?;
    let job: JobBody = serde_json::from_str(&text)
        .map_err(|error| Refusal::new(NotRunReason::BadRequest, error.to_string()))?;
    let service = find_service(api, &job.service)?;
    let spec = job_spec(api, request, job, &service)?;
    let identity = identity(api, request, &spec.team).await?;
    let wait_ms = query
        .wait_ms
        .unwrap_or(spec.deadline_ms)
        .min(spec.deadline_ms);
    let report = api.jobs.submit(identity, spec, wait_ms).await;
    Ok(job_response(identity.ticket, &report))
}

/// `GET /v1/jobs/TICKET?wait_ms=N`
#[handler]
pub(crate) async fn poll_job(
    api: Api<'_>,
    Path(ticket): Path<String>,
    Query(query): Query<WaitQuery>,
) -> Response {
    let result = poll(&api, &ticket, query).await;
    counted_response(&api, result)
}

async fn poll(api: &EntryApi, ticket: &str, query: WaitQuery) -> Result<Response, Refusal> {
    let ticket = parse_ticket(ticket)?;
    let wait_ms = query.wait_ms.unwrap_or(0).min(api.max_deadline_ms);
    Ok(job_response(ticket, &api.jobs.poll(ticket, wait_ms).await))
}

/// `DELETE /v1/jobs/TICKET`
#[handler]
pub(crate) async fn cancel_job(api: Api<'_>, Path(ticket): Path<String>) -> Response {
    let result = cancel(&api, &ticket).await;
    counted_response(&api, result)
}

async fn cancel(api: &EntryApi, ticket: &str) -> Result<Response, Refusal> {
    let ticket = parse_ticket(ticket)?;
    Ok(job_response(ticket, &api.jobs.cancel(ticket).await))
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
    let result = run_single(&api, request, service, query, body).await;
    let result = replace_if_known(&api, request, result).await;
    with_next_ticket(&api, counted_response(&api, result))
}

async fn run_single(
    api: &EntryApi,
    request: &Request,
    name: String,
    query: RequestQuery,
    body: Body,
) -> Result<Response, Refusal> {
    let input = read_body(body).await?;
    let service = find_service(api, &name)?;
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
    let has_identity =
        request.header(TICKET_HEADER).is_some() || request.header(IDEMPOTENCY_KEY_HEADER).is_some();
    let wait_ms = spec.deadline_ms;
    if spec.repeatable && !has_identity {
        let run = api.jobs.run_repeatable(spec, wait_ms).await;
        let (ticket, report) = run.ok_or_else(no_tickets)?;
        return Ok(request_response(ticket, &report));
    }
    let identity = identity(api, request, &spec.team).await?;
    let report = api.jobs.submit(identity, spec, wait_ms).await;
    Ok(request_response(identity.ticket, &report))
}

/// Reads the body, which has been received within its limit.
async fn read_body(body: Body) -> Result<String, Refusal> {
    let bad_request =
        |error: &dyn ToString| Refusal::new(NotRunReason::BadRequest, error.to_string());
    let bytes = body
        .into_bytes()
        .await
        .map_err(|error| bad_request(&error))?;
    String::from_utf8(bytes.to_vec()).map_err(|_| bad_request(&"the body must be UTF-8"))
}

fn find_service(api: &EntryApi, name: &str) -> Result<Service, Refusal> {
    api.state.service(name).map_err(|reason| match reason {
        NotRunReason::NoConfiguration => Refusal::retry_after(reason, TICKET_RETRY_AFTER_MS),
        _ => Refusal::new(reason, format!("service \"{name}\"")),
    })
}

fn job_spec(
    api: &EntryApi,
    request: &Request,
    job: JobBody,
    service: &Service,
) -> Result<JobSpec, Refusal> {
    let limit = service.max_tasks.min(MAX_TASKS);
    if !(1..=limit).contains(&job.tasks.len()) {
        let message = format!("a job of this service has 1 to {limit} tasks");
        return Err(Refusal::new(NotRunReason::TaskCount, message));
    }
    let deadline_ms = job.deadline_ms.unwrap_or(service.default_deadline_ms);
    if !(1..=api.max_deadline_ms).contains(&deadline_ms) {
        let message = format!("deadline_ms must be from 1 to {}", api.max_deadline_ms);
        return Err(Refusal::new(NotRunReason::BadRequest, message));
    }
    Ok(JobSpec {
        service: job.service,
        team: request.header(TEAM_HEADER).unwrap_or_default().to_owned(),
        deadline_ms,
        repeatable: job.repeatable.unwrap_or(service.repeatable),
        tasks: job
            .tasks
            .into_iter()
            .map(|task| task.into_spec(service.memory_mb, service.accelerators))
            .collect(),
    })
}

/// Returns the ticket in the request, or the one that its idempotency key is bound to.
async fn identity(api: &EntryApi, request: &Request, team: &str) -> Result<JobIdentity, Refusal> {
    if let Some(text) = request.header(TICKET_HEADER) {
        return parse_ticket(text).map(JobIdentity::of_ticket);
    }
    let Some(key) = request.header(IDEMPOTENCY_KEY_HEADER) else {
        let message = format!("send {TICKET_HEADER} or {IDEMPOTENCY_KEY_HEADER}");
        return Err(Refusal::new(NotRunReason::TicketMissing, message));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("{IDEMPOTENCY_KEY_HEADER} has 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::new(NotRunReason::BadRequest, message));
    }
    match api.claims.ticket_for(team, key).await {
        Ok(ticket) => Ok(JobIdentity {
            ticket,
            source: TicketSource::Key,
        }),
        Err(verdict) => Err(Refusal {
            verdict,
            message: String::new(),
        }),
    }
}

fn parse_ticket(text: &str) -> Result<Ticket, Refusal> {
    text.parse().map_err(|error: TicketError| {
        Refusal::new(NotRunReason::TicketMalformed, error.to_string())
    })
}

const fn no_tickets() -> Refusal {
    Refusal::retry_after(NotRunReason::NoTickets, TICKET_RETRY_AFTER_MS)
}

/// Builds the response and counts it by rejection reason or verdict.
fn counted_response(api: &EntryApi, result: Result<Response, Refusal>) -> Response {
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let reason = refusal.verdict.reason();
            api.metrics.count(Counter::Refusals, reason);
            return refusal.response();
        }
    };
    let verdict = match response.header(VERDICT_HEADER) {
        None => return response,
        Some("done") => "done",
        Some("not-run") => "not-run",
        Some("running") => "running",
        Some(_) => "may-have-run",
    };
    api.metrics.count(Counter::Answers, verdict);
    response
}

/// Adds a ticket for the next job, which saves the client a request for tickets.
fn with_next_ticket(api: &EntryApi, mut response: Response) -> Response {
    if let Some(ticket) = api.state.mint(1).pop()
        && let Ok(value) = HeaderValue::from_str(&ticket.to_string())
    {
        response.headers_mut().insert(NEXT_TICKET_HEADER, value);
    }
    response
}
