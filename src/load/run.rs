//! Sends the schedule and gathers the answers.

use {
    super::{
        report::Report,
        schedule::{PlannedJob, plan},
    },
    crate::{
        adapters::http::{HttpClient, HttpReply, REASON_HEADER, TICKET_HEADER, VERDICT_HEADER},
        cli::{LoadArgs, RunError},
    },
    http::Method,
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

#[derive(Debug)]
struct JobResult {
    verdict: String,
    response_us: u64,
    wrong: bool,
}

/// Runs the load and prints the report; fails if an answer was wrong.
pub(crate) async fn run_load(args: LoadArgs) -> Result<(), RunError> {
    let args = Arc::new(args);
    let client = HttpClient::new();
    let started_at = Instant::now();
    let mut running = JoinSet::new();
    for (number, job) in plan(&args).into_iter().enumerate() {
        sleep_until(started_at + Duration::from_micros(job.at_us)).await;
        let entry = args.entries[number % args.entries.len()];
        running.spawn(send_job(
            client.clone(),
            Arc::clone(&args),
            entry,
            number,
            job,
        ));
    }
    let mut report = Report::new().map_err(|error| RunError::Failed(error.to_string()))?;
    while let Some(result) = running.join_next().await {
        let result = result.map_err(|error| RunError::Failed(error.to_string()))?;
        report.wrong += u64::from(result.wrong);
        if result.verdict == "done" {
            report.response_us.saturating_record(result.response_us);
        }
        *report.verdicts.entry(result.verdict).or_default() += 1;
    }
    if args.json {
        report.print_json();
    } else {
        report.print_table();
    }
    if report.wrong > 0 {
        return Err(RunError::Failed(format!("{} wrong answers", report.wrong)));
    }
    Ok(())
}

async fn send_job(
    client: HttpClient,
    args: Arc<LoadArgs>,
    entry: SocketAddr,
    number: usize,
    job: PlannedJob,
) -> JobResult {
    let sent_at = Instant::now();
    let verdict = match exchange(&client, &args, entry, number, &job).await {
        Ok(reply) => (verdict_of(&reply), is_wrong(&reply, number, &job)),
        Err(detail) => (detail, false),
    };
    JobResult {
        verdict: verdict.0,
        wrong: verdict.1,
        response_us: u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX),
    }
}

async fn exchange(
    client: &HttpClient,
    args: &LoadArgs,
    entry: SocketAddr,
    number: usize,
    job: &PlannedJob,
) -> Result<HttpReply, String> {
    let tickets = client
        .send(Method::POST, entry, "/v1/tickets", &[], String::new())
        .await
        .map_err(|_| "unreachable".to_owned())?;
    let tickets: Value = serde_json::from_slice(&tickets.body).unwrap_or(Value::Null);
    let ticket = tickets["tickets"][0].as_str().ok_or("no ticket")?;
    let tasks: Vec<Value> = job
        .run_ms
        .iter()
        .enumerate()
        .map(|(index, run_ms)| {
            json!({
                "input": format!("{run_ms} {}", expected_output(number, index)),
                "declared_run_ms": run_ms,
            })
        })
        .collect();
    let body = json!({
        "service": args.service,
        "deadline_ms": args.deadline_ms,
        "tasks": tasks,
    });
    client
        .send(
            Method::POST,
            entry,
            "/v1/jobs",
            &[(TICKET_HEADER, ticket)],
            body.to_string(),
        )
        .await
        .map_err(|_| "unreachable".to_owned())
}

fn expected_output(number: usize, index: usize) -> String {
    format!("job {number} task {index}")
}

fn verdict_of(reply: &HttpReply) -> String {
    let verdict = reply.header(VERDICT_HEADER);
    let reason = reply.header(REASON_HEADER);
    if reason.is_empty() {
        return verdict.to_owned();
    }
    format!("{verdict} {reason}")
}

/// Whether a job that is said to be done lacks an output or has another job's.
fn is_wrong(reply: &HttpReply, number: usize, job: &PlannedJob) -> bool {
    if reply.header(VERDICT_HEADER) != "done" {
        return false;
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    let tasks = answer["tasks"].as_array().map_or(&[][..], Vec::as_slice);
    let all_own = tasks
        .iter()
        .enumerate()
        .all(|(index, task)| task["output"] == expected_output(number, index));
    !all_own || tasks.len() != job.run_ms.len()
}
