//! What the load tool reads from the deployment: starts, counters, processor time.

use {
    crate::{
        adapters::http::HttpClient,
        cli::{RunError, ZonedBackend},
    },
    http::Method,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Length of one tick of `/proc/PID/stat`, in microseconds: Linux counts 100 a second.
const CPU_TICK_US: u64 = 10_000;
/// Position of the user time after the program's name in `/proc/PID/stat`; system time is next.
const USER_TICKS_FIELD: usize = 11;
/// Messages that a refused start costs: the start and the refusal.
const MESSAGES_OF_REFUSAL: u64 = 2;

/// One start as the backend server's stand-in recorded it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct StartRecord {
    /// The task's name.
    pub(crate) task: String,
    /// Microseconds since 1970.
    pub(crate) at_unix_us: u64,
    /// How long it ran; zero if it has not ended.
    #[serde(default)]
    pub(crate) ran_us: u64,
}

/// A start with its place.
#[derive(Debug, Clone)]
pub(crate) struct ZonedStart {
    /// The backend server's availability zone.
    pub(crate) availability_zone: String,
    /// The start.
    pub(crate) record: StartRecord,
}

/// All starts that the backend servers have recorded.
pub(crate) async fn read_starts(
    client: &HttpClient,
    backends: &[ZonedBackend],
) -> Result<Vec<ZonedStart>, RunError> {
    let mut starts = Vec::new();
    for backend in backends {
        let Ok(reply) = client
            .send(Method::GET, backend.addr, "/starts", &[], String::new())
            .await
        else {
            // A backend server that was killed for the run has no record to read.
            continue;
        };
        let records: Vec<StartRecord> = serde_json::from_slice(&reply.body)
            .map_err(|error| RunError::Failed(format!("{}: {error}", backend.addr)))?;
        starts.extend(records.into_iter().map(|record| ZonedStart {
            availability_zone: backend.availability_zone.clone(),
            record,
        }));
    }
    Ok(starts)
}

/// Messages between homes and runners that served no start, since the agents' beginning.
pub(crate) async fn read_wasted_messages(client: &HttpClient, agents: &[SocketAddr]) -> u64 {
    let mut wasted = 0;
    for agent in agents {
        if let Ok(reply) = client
            .send(Method::GET, *agent, "/metrics", &[], String::new())
            .await
        {
            wasted += wasted_in(&reply.text());
        }
    }
    wasted
}

fn wasted_in(metrics: &str) -> u64 {
    let refusals = sum_of(metrics, "rattanslip_refusals_total{");
    let others = sum_of(metrics, "rattanslip_wasted_messages_total{");
    refusals * MESSAGES_OF_REFUSAL + others
}

fn sum_of(metrics: &str, prefix: &str) -> u64 {
    metrics
        .lines()
        .filter(|line| line.starts_with(prefix))
        .filter_map(|line| line.rsplit(' ').next())
        .filter_map(|value| value.parse::<f64>().ok())
        .map(|value| value as u64)
        .sum()
}

/// Processor time of some processes so far, in microseconds; those that are gone count as zero.
pub(crate) fn cpu_us(pids: &[u32]) -> u64 {
    pids.iter().filter_map(|pid| process_cpu_us(*pid)).sum()
}

fn process_cpu_us(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: u64 = fields
        .split_whitespace()
        .skip(USER_TICKS_FIELD)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    Some(ticks * CPU_TICK_US)
}
