//! `rattanslip submit`, `status` and `cancel`.

use {
    super::digest_check::verify_digest,
    crate::{
        adapters::http::{HttpClientResponse, IDEMPOTENCY_KEY_HEADER, TICKET_HEADER},
        cli::{RunError, operator_client::OperatorClient},
    },
    http::Method,
    serde_json::Value,
    std::path::Path,
};

/// Submits a job and prints its outcome.
pub(crate) async fn submit(
    client: &OperatorClient,
    file: &Path,
    ticket: Option<String>,
    key: Option<String>,
    as_json: bool,
) -> Result<(), RunError> {
    let body = std::fs::read_to_string(file)
        .map_err(|error| RunError::Usage(format!("{}: {error}", file.display())))?;
    let identity = match (ticket, key) {
        (_, Some(key)) => (IDEMPOTENCY_KEY_HEADER, key),
        (Some(ticket), None) => (TICKET_HEADER, ticket),
        (None, None) => (TICKET_HEADER, request_ticket(client).await?),
    };
    let headers = [(identity.0, identity.1.as_str())];
    let response = client
        .send(Method::POST, "/v1/jobs", &headers, body)
        .await?;
    print_job(&response, as_json)
}

async fn request_ticket(client: &OperatorClient) -> Result<String, RunError> {
    let response = client
        .request_json(Method::POST, "/v1/tickets", String::new())
        .await?;
    response["tickets"][0]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| RunError::Refused("the entry returned no ticket".to_owned()))
}

/// Prints the status or outcome of a job.
pub(crate) async fn status(
    client: &OperatorClient,
    ticket: &str,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/jobs/{ticket}");
    let response = client.send(Method::GET, &path, &[], String::new()).await?;
    print_job(&response, as_json)
}

/// Cancels a job.
pub(crate) async fn cancel(
    client: &OperatorClient,
    ticket: &str,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/jobs/{ticket}");
    let response = client
        .send(Method::DELETE, &path, &[], String::new())
        .await?;
    print_job(&response, as_json)
}

fn print_job(response: &HttpClientResponse, as_json: bool) -> Result<(), RunError> {
    let job: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    let is_checked = verify_digest(&job)?;
    if as_json {
        println!("{}", response.text());
    } else {
        print_job_text(&job);
        if is_checked {
            println!("count and digest: checked");
        }
    }
    if response.status.is_success() {
        return Ok(());
    }
    Err(RunError::Refused(format!("status {}", response.status)))
}

fn print_job_text(job: &Value) {
    for field in [
        "ticket",
        "verdict",
        "reason",
        "message",
        "retry_after_ms",
        "digest",
    ] {
        match &job[field] {
            Value::Null => {}
            Value::String(text) => println!("{field}: {text}"),
            value => println!("{field}: {value}"),
        }
    }
    let tasks = job["tasks"].as_array().map_or(&[][..], Vec::as_slice);
    let done = tasks
        .iter()
        .filter(|task| task["verdict"] == "done")
        .count();
    if let Some(count) = job["task_count"].as_u64() {
        println!("tasks: {done} of {count} done");
    }
    for (index, task) in tasks.iter().enumerate() {
        if task["verdict"] != "done" {
            println!("task {index}: {} {}", task["verdict"], task["reason"]);
        }
    }
}
