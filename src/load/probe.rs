//! What the load tool reads from the deployment: starts, counters, processor time.

use {
    crate::{
        adapters::http::HttpClient,
        cli::{RunError, ZonedBackend},
    },
    http::Method,
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Length of one tick of `/proc/PID/stat`, in microseconds: Linux counts 100 a second.
const CPU_TICK_US: u64 = 10_000;
/// Position of the user time after the program's name in `/proc/PID/stat`; system time is next.
const USER_TICKS_FIELD: usize = 11;
/// Messages that a refused start costs: the start and the refusal.
const MESSAGES_PER_REFUSAL: u64 = 2;

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

/// Counters of interest, in Prometheus's text format, with the names they are reported under.
const COUNTERS: [(&str, &str); 5] = [
    ("rattanslip_refusals_total{", "refusal"),
    ("rattanslip_wasted_messages_total{", WASTED),
    ("rattanslip_retries_total{", "retry"),
    ("rattanslip_ejections_total{", "ejection"),
    ("rattanslip_hedges_total{", "hedge"),
];
/// Name of the counter of wasted messages.
const WASTED: &str = "wasted";
/// The counter of starts refused by runners.
const REFUSAL_PREFIX: &str = "refusal ";

/// Values of the agents' counters since their beginning, by name and reason.
pub(crate) type Counters = BTreeMap<String, u64>;

/// Reads the agents' counters and adds them up.
pub(crate) async fn read_counters(client: &HttpClient, agents: &[SocketAddr]) -> Counters {
    let mut counters = Counters::new();
    for agent in agents {
        if let Ok(reply) = client
            .send(Method::GET, *agent, "/metrics", &[], String::new())
            .await
        {
            for line in reply.text().lines() {
                add_metric_line(&mut counters, line);
            }
        }
    }
    counters
}

fn add_metric_line(counters: &mut Counters, line: &str) {
    for (prefix, name) in COUNTERS {
        let reason = line
            .strip_prefix(prefix)
            .and_then(|rest| rest.split_once("reason=\""))
            .and_then(|(_, rest)| rest.split_once('"'));
        let value = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        if let (Some((reason, _)), Some(value)) = (reason, value) {
            *counters.entry(format!("{name} {reason}")).or_default() += value as u64;
        }
    }
}

/// What was counted between two readings.
pub(crate) fn counter_increase(before: &Counters, after: &Counters) -> Counters {
    after
        .iter()
        .map(|(name, value)| {
            let earlier = before.get(name).copied().unwrap_or(0);
            (name.clone(), value.saturating_sub(earlier))
        })
        .filter(|(_, value)| *value > 0)
        .collect()
}

/// Messages between homes and runners that served no start.
pub(crate) fn wasted_messages(counters: &Counters) -> u64 {
    counters
        .iter()
        .map(|(name, value)| {
            if name.starts_with(REFUSAL_PREFIX) {
                value * MESSAGES_PER_REFUSAL
            } else if name.starts_with(WASTED) {
                *value
            } else {
                0
            }
        })
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
