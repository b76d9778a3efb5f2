//! `rattanslip submit`, `status` and `cancel`.

use {
    super::answer_check::check_answer,
    crate::{
        adapters::http::{HttpClientResponse, IDEMPOTENCY_KEY_HEADER, TICKET_HEADER},
        cli::{RunError, operator_client::OperatorClient},
    },
    http::Method,
    serde_json::Value,
    std::path::Path,
};

/// Submits a job and prints its answer.
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
        (None, None) => (TICKET_HEADER, fresh_ticket(client).await?),
    };
    let headers = [(identity.0, identity.1.as_str())];
    let reply = client
        .send(Method::POST, "/v1/jobs", &headers, body)
        .await?;
    print_answer(&reply, as_json)
}

async fn fresh_ticket(client: &OperatorClient) -> Result<String, RunError> {
    let reply = client
        .json(Method::POST, "/v1/tickets", String::new())
        .await?;
    reply["tickets"][0]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| RunError::Refused("the entry gave no ticket".to_owned()))
}

/// Asks after a job.
pub(crate) async fn status(
    client: &OperatorClient,
    ticket: &str,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/jobs/{ticket}");
    let reply = client.send(Method::GET, &path, &[], String::new()).await?;
    print_answer(&reply, as_json)
}

/// Gives a job up.
pub(crate) async fn cancel(
    client: &OperatorClient,
    ticket: &str,
    as_json: bool,
) -> Result<(), RunError> {
    let path = format!("/v1/jobs/{ticket}");
    let reply = client
        .send(Method::DELETE, &path, &[], String::new())
        .await?;
    print_answer(&reply, as_json)
}

fn print_answer(reply: &HttpClientResponse, as_json: bool) -> Result<(), RunError> {
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    let is_checked = check_answer(&answer)?;
    if as_json {
        println!("{}", reply.text());
    } else {
        print_for_people(&answer);
        if is_checked {
            println!("count and digest: checked");
        }
    }
    if reply.status.is_success() {
        return Ok(());
    }
    Err(RunError::Refused(format!("status {}", reply.status)))
}

fn print_for_people(answer: &Value) {
    for field in [
        "ticket",
        "verdict",
        "reason",
        "message",
        "retry_after_ms",
        "digest",
    ] {
        match &answer[field] {
            Value::Null => {}
            Value::String(text) => println!("{field}: {text}"),
            value => println!("{field}: {value}"),
        }
    }
    let tasks = answer["tasks"].as_array().map_or(&[][..], Vec::as_slice);
    let done = tasks
        .iter()
        .filter(|task| task["verdict"] == "done")
        .count();
    if let Some(count) = answer["task_count"].as_u64() {
        println!("tasks: {done} of {count} done");
    }
    for (index, task) in tasks.iter().enumerate() {
        if task["verdict"] != "done" {
            println!("task {index}: {} {}", task["verdict"], task["reason"]);
        }
    }
}
