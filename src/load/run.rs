//! Runs the schedule against a deployment and prints the report.

use {
    super::{
        load_client::{JobResult, LoadClient},
        load_stats::{LoadStats, LoadTimes},
        probe::{counter_increase, cpu_us, read_counters, read_starts},
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

/// Delay before the final counters are read, so that frames in flight are counted.
const COUNTER_DELAY_MS: u64 = 200;

/// Resolution of the Tokio timer (1 ms) plus a margin.
const TIMER_RESOLUTION_MS: u64 = 2;

/// Runs the load and prints the report; fails if a response was incomplete.
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
    let started_us = unix_us();
    // Leaves time for the sleep before the first arrival.
    let started_at = Instant::now() + Duration::from_millis(TIMER_RESOLUTION_MS);
    let zone = tokio::spawn(evacuate_and_restore_zone(Arc::clone(&client), started_at));
    let results = send_all(&client, &plan, started_at).await?;
    let (evacuated_us, restored_us) = zone
        .await
        .map_err(|error| RunError::Failed(error.to_string()))??;
    tokio::time::sleep(Duration::from_millis(COUNTER_DELAY_MS)).await;
    let after = read_costs(&client).await;
    let costs = Costs {
        counters: counter_increase(&before.counters, &after.counters),
        entry_cpu_us: after.entry_cpu_us.saturating_sub(before.entry_cpu_us),
        agent_cpu_us: after.agent_cpu_us.saturating_sub(before.agent_cpu_us),
    };
    let starts = read_starts(&client.http, &client.args.backends).await?;
    let times = LoadTimes {
        started_us,
        evacuated_us,
        restored_us,
    };
    let stats = LoadStats::new(&client.args, times, &plan, &results, &starts)?;
    if client.args.json {
        println!("{}", json_report(&stats, &costs));
    } else {
        print_table(&stats, &costs);
    }
    if stats.partial > 0 {
        let message = format!("{} responses were incomplete", stats.partial);
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
    started_at: Instant,
) -> Result<Vec<JobResult>, RunError> {
    let cancel_at = started_at + Duration::from_millis(client.args.duration_ms / 2);
    let mut running = JoinSet::new();
    for (number, job) in plan.iter().enumerate() {
        let arrival = started_at + Duration::from_micros(job.at_us);
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

/// Sleeps, then spins until the arrival time: the timer alone is up to a millisecond late, which
/// would count as overhead.
async fn wait_for_arrival(arrival: Instant) {
    sleep_until(arrival - Duration::from_millis(TIMER_RESOLUTION_MS)).await;
    while Instant::now() < arrival {
        yield_now().await;
    }
}

/// Evacuates and restores the configured zone, if any; returns the timestamps of both calls.
async fn evacuate_and_restore_zone(
    client: Arc<LoadClient>,
    started_at: Instant,
) -> Result<(Option<u64>, Option<u64>), RunError> {
    let args = &client.args;
    let Some(zone) = &args.zone_out else {
        return Ok((None, None));
    };
    let operator = OperatorClient::new(args.entries.first().copied(), args.token.as_deref())?;
    sleep_until(started_at + Duration::from_millis(args.zone_out_at_ms)).await;
    let evacuated_us = unix_us();
    let path = format!("/v1/zones/{zone}/out");
    operator
        .request_json(Method::POST, &path, String::new())
        .await?;
    sleep_until(started_at + Duration::from_millis(args.zone_in_at_ms)).await;
    let restored_us = unix_us();
    let path = format!("/v1/zones/{zone}/in");
    operator
        .request_json(Method::POST, &path, String::new())
        .await?;
    Ok((Some(evacuated_us), Some(restored_us)))
}

fn unix_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
