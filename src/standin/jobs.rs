//! Load generator that sends identical jobs at a fixed rate to measure the cost per task.

use {
    crate::{
        adapters::http::{
            HttpClient, HttpClientResponse, NEXT_TICKET_HEADER, TICKET_HEADER, VERDICT_HEADER,
        },
        cli::{JobsArgs, RunError},
    },
    hdrhistogram::Histogram,
    http::Method,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, MissedTickBehavior, interval, sleep_until},
    },
};

/// Upper bound of the response time histogram.
const MAX_RESPONSE_US: u64 = 60_000_000;
/// Age at which an unused ticket is discarded.
const TICKET_MAX_AGE_S: u64 = 60;

/// Tickets received with responses, oldest first.
#[derive(Debug, Default)]
struct TicketQueue(Mutex<VecDeque<(Instant, String)>>);

impl TicketQueue {
    fn push(&self, reply: &HttpClientResponse) {
        let ticket = reply.header(NEXT_TICKET_HEADER);
        if !ticket.is_empty() {
            let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            queue.push_back((Instant::now(), ticket.to_owned()));
        }
    }

    fn pop(&self) -> Option<String> {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((received_at, ticket)) = queue.pop_front() {
            if received_at.elapsed().as_secs() < TICKET_MAX_AGE_S {
                return Some(ticket);
            }
        }
        None
    }
}

/// Sends evenly spaced jobs and prints a JSON summary of the responses.
pub(crate) async fn run_jobs(args: JobsArgs) -> Result<(), RunError> {
    let failed = |error: &dyn ToString| RunError::Failed(error.to_string());
    let (client, tickets) = (HttpClient::new(), Arc::new(TicketQueue::default()));
    let args = Arc::new(args);
    let body: Arc<str> = job_body(&args).into();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / args.jobs_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let ends_at = Instant::now() + Duration::from_millis(args.duration_ms);
    let mut running = JoinSet::new();
    while Instant::now() < ends_at {
        ticks.tick().await;
        let (client, tickets) = (client.clone(), Arc::clone(&tickets));
        let (args, body) = (Arc::clone(&args), Arc::clone(&body));
        running.spawn(async move { send_job(&client, &tickets, &args, &body).await });
    }
    sleep_until(ends_at).await;
    let mut verdicts: BTreeMap<String, u64> = BTreeMap::new();
    let mut response_us =
        Histogram::<u64>::new_with_bounds(1, MAX_RESPONSE_US, 3).map_err(|error| failed(&error))?;
    while let Some(ended) = running.join_next().await {
        let (verdict, micros) = ended.map_err(|error| failed(&error))?;
        if verdict == "done" {
            response_us.saturating_record(micros);
        }
        *verdicts.entry(verdict).or_default() += 1;
    }
    let report = json!({
        "response_p50_us": response_us.value_at_quantile(0.5),
        "response_p99_us": response_us.value_at_quantile(0.99),
        "verdicts": verdicts,
    });
    println!("{report}");
    Ok(())
}

fn job_body(args: &JobsArgs) -> String {
    let tasks: Vec<Value> = (0..args.tasks)
        .map(|index| json!({ "input": format!("{} task {index}", args.work_ms) }))
        .collect();
    json!({ "service": args.service, "deadline_ms": args.deadline_ms, "tasks": tasks }).to_string()
}

/// Sends one job; returns its verdict and the response time in microseconds.
async fn send_job(
    client: &HttpClient,
    tickets: &TicketQueue,
    args: &JobsArgs,
    body: &str,
) -> (String, u64) {
    let Some(ticket) = acquire_ticket(client, tickets, args).await else {
        return ("no-ticket".to_owned(), 0);
    };
    let sent_at = Instant::now();
    let headers = [(TICKET_HEADER, ticket.as_str())];
    let reply = client
        .send(
            Method::POST,
            args.entry,
            "/v1/jobs",
            &headers,
            body.to_owned(),
        )
        .await;
    let Ok(reply) = reply else {
        return ("unreachable".to_owned(), 0);
    };
    tickets.push(&reply);
    let micros = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    (reply.header(VERDICT_HEADER).to_owned(), micros)
}

async fn acquire_ticket(
    client: &HttpClient,
    tickets: &TicketQueue,
    args: &JobsArgs,
) -> Option<String> {
    if let Some(ticket) = tickets.pop() {
        return Some(ticket);
    }
    let reply = client
        .send(Method::POST, args.entry, "/v1/tickets", &[], String::new())
        .await
        .ok()?;
    let reply: Value = serde_json::from_slice(&reply.body).ok()?;
    reply["tickets"][0].as_str().map(str::to_owned)
}
