//! Rejection of requests whose job may have been submitted before.

use {
    super::{
        client_api::{IDEMPOTENCY_KEY_HEADER, TEAM_HEADER, TICKET_HEADER},
        entry_api::EntryApi,
        response::{Refusal, job_response},
    },
    crate::{
        core::{ticket::Ticket, verdict::Verdict},
        entry::JobReport,
    },
    poem::{Request, Response},
};

/// Replaces a rejection by the job's outcome if the request resubmits a known job.
///
/// A request with a ticket or idempotency key is rejected only if a poll of its job yields "unknown"
/// or "not run" too. Otherwise a client whose first response was lost could resubmit a job that ran,
/// get a false "not run" from an entry that has no configuration yet or no longer knows the service,
/// and submit the job again under another ticket.
pub(super) async fn replace_if_known(
    api: &EntryApi,
    request: &Request,
    result: Result<Response, Refusal>,
) -> Result<Response, Refusal> {
    match result {
        Err(refusal) if matches!(refusal.verdict, Verdict::NotRun { .. }) => {
            previous_response(api, request).await.ok_or(refusal)
        }
        result => result,
    }
}

async fn previous_response(api: &EntryApi, request: &Request) -> Option<Response> {
    let ticket = match previous_ticket(api, request).await {
        Ok(ticket) => ticket?,
        Err(verdict) => {
            let message = String::new();
            return Some(Refusal { verdict, message }.response());
        }
    };
    match api.jobs.poll(ticket, 0).await {
        JobReport::Unknown | JobReport::Verdict(Verdict::NotRun { .. }) => None,
        report => Some(job_response(ticket, &report)),
    }
}

async fn previous_ticket(api: &EntryApi, request: &Request) -> Result<Option<Ticket>, Verdict> {
    if let Some(text) = request.header(TICKET_HEADER) {
        return Ok(text.parse().ok());
    }
    let Some(key) = request.header(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let team = request.header(TEAM_HEADER).unwrap_or_default();
    api.claims.lookup(team, key).await
}
