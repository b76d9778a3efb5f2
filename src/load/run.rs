//! Sends the schedule, gathers the answers and judges them.

use {
    super::{
        exchange::{JobResult, LoadClient},
        findings::{Findings, RunTimes},
        probe::{counted_since, cpu_us, read_counters, read_starts},
        report::{Costs, json_report, print_table},
        schedule::{PlannedJob, plan},
        ticket_pool::TicketPool,
    },
    crate::{
        adapters::http::HttpClient,
        cli::{LoadArgs, OperatorClient, RunError},
    },
    http::Method,
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        task::{JoinSet, yield_now},
        time::{Instant, sleep_until},
    },
};

/// Time given to the last frames before the counters are read, in milliseconds.
const SETTLE_MS: u64 = 200;

/// Steps of the runtime's timer, with room, in milliseconds.
const TIMER_STEP_MS: u64 = 2;

/// Runs the load and prints the report; fails if an answer was wrong or missing.
pub(crate) async fn run_load(args: LoadArgs) -> Result<(), RunError> {
    let plan: Arc<[PlannedJob]> = plan(&args).into();
    let client = Arc::new(LoadClient {
        http: HttpClient::new(),
        tickets: TicketPool::default(),
        args,
    });
    for entry in &client.args.entries {
        client.tickets.fetch(&client.http, *entry).await;
    }
    let before = read_costs(&client).await;
    let began_us = unix_us();
    // The first jobs are sent after the timer's step, too.
    let began = Instant::now() + Duration::from_millis(TIMER_STEP_MS);
    let zone = tokio::spawn(move_zone(Arc::clone(&client), began));
    let results = send_all(&client, &plan, began).await?;
    let (zone_out_us, zone_in_us) = zone
        .await
        .map_err(|error| RunError::Failed(error.to_string()))??;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let after = read_costs(&client).await;
    let costs = Costs {
        counters: counted_since(&before.counters, &after.counters),
        entry_cpu_us: after.entry_cpu_us.saturating_sub(before.entry_cpu_us),
        agent_cpu_us: after.agent_cpu_us.saturating_sub(before.agent_cpu_us),
    };
    let starts = read_starts(&client.http, &client.args.backends).await?;
    let times = RunTimes {
        began_us,
        zone_out_us,
        zone_in_us,
    };
    let findings = Findings::new(&client.args, times, &plan, &results, &starts)?;
    if client.args.json {
        println!("{}", json_report(&findings, &costs));
    } else {
        print_table(&findings, &costs);
    }
    if findings.partial > 0 {
        let message = format!("{} answers were not whole", findings.partial);
        return Err(RunError::Failed(message));
    }
    Ok(())
}

async fn read_costs(client: &LoadClient) -> Costs {
    Costs {
        counters: read_counters(&client.http, &client.args.agents).await,
        entry_cpu_us: cpu_us(&client.args.entry_pids),
        agent_cpu_us: cpu_us(&client.args.agent_pids),
    }
}

async fn send_all(
    client: &Arc<LoadClient>,
    plan: &Arc<[PlannedJob]>,
    began: Instant,
) -> Result<Vec<JobResult>, RunError> {
    let cancel_at = began + Duration::from_millis(client.args.duration_ms / 2);
    let mut running = JoinSet::new();
    for (number, job) in plan.iter().enumerate() {
        let arrival = began + Duration::from_micros(job.at_us);
        wait_for_arrival(arrival).await;
        let client = Arc::clone(client);
        let plan = Arc::clone(plan);
        running.spawn(async move {
            client
                .run_job(number, &plan[number], arrival, cancel_at)
                .await
        });
    }
    let mut results = Vec::with_capacity(plan.len());
    while let Some(result) = running.join_next().await {
        results.push(result.map_err(|error| RunError::Failed(error.to_string()))?);
    }
    Ok(results)
}

/// Waits to the microsecond: the timer alone would be late by up to a millisecond, which would
/// count as overhead.
async fn wait_for_arrival(arrival: Instant) {
    sleep_until(arrival - Duration::from_millis(TIMER_STEP_MS)).await;
    while Instant::now() < arrival {
        yield_now().await;
    }
}

/// Takes the availability zone out and brings it back, if asked to; returns when.
async fn move_zone(
    client: Arc<LoadClient>,
    began: Instant,
) -> Result<(Option<u64>, Option<u64>), RunError> {
    let args = &client.args;
    let Some(zone) = &args.zone_out else {
        return Ok((None, None));
    };
    let operator = OperatorClient::new(args.entries.first().copied(), args.token.as_deref())?;
    sleep_until(began + Duration::from_millis(args.zone_out_at_ms)).await;
    let out_us = unix_us();
    let path = format!("/v1/zones/{zone}/out");
    operator
        .request_json(Method::POST, &path, String::new())
        .await?;
    sleep_until(began + Duration::from_millis(args.zone_in_at_ms)).await;
    let in_us = unix_us();
    let path = format!("/v1/zones/{zone}/in");
    operator
        .request_json(Method::POST, &path, String::new())
        .await?;
    Ok((Some(out_us), Some(in_us)))
}

fn unix_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
