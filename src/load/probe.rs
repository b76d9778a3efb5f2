//! Reads recorded starts, metrics and CPU time from the deployment.

use {
    crate::{
        adapters::http::HttpClient,
        cli::{RunError, ZonedBackend},
    },
    http::Method,
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Clock tick of `/proc/PID/stat`: `USER_HZ` is 100 on Linux.
const CPU_TICK_US: u64 = 10_000;
/// Index of `utime` after the command name in `/proc/PID/stat`; `stime` follows it.
const USER_TICKS_FIELD: usize = 11;
/// Messages per rejected start: the start and the rejection.
const MESSAGES_PER_REFUSAL: u64 = 2;

/// A task start recorded by a backend server stand-in.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct StartRecord {
    /// Task name.
    pub(crate) task: String,
    /// Start time as a Unix timestamp in microseconds.
    pub(crate) at_unix_us: u64,
    /// Run time; zero if the task has not finished.
    #[serde(default)]
    pub(crate) ran_us: u64,
}

/// A recorded start and the zone of its backend server.
#[derive(Debug, Clone)]
pub(crate) struct ZonedStart {
    /// Availability zone of the backend server.
    pub(crate) availability_zone: String,
    /// The recorded start.
    pub(crate) record: StartRecord,
}

/// Reads the starts recorded by all reachable backend servers.
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
            // The run may have killed this backend server.
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

/// Prefixes of the Prometheus counters to read, with the names used in the report.
const COUNTERS: [(&str, &str); 5] = [
    ("rattanslip_refusals_total{", "refusal"),
    ("rattanslip_wasted_messages_total{", WASTED),
    ("rattanslip_retries_total{", "retry"),
    ("rattanslip_ejections_total{", "ejection"),
    ("rattanslip_hedges_total{", "hedge"),
];
/// Report name of the counter of wasted messages.
const WASTED: &str = "wasted";
/// Prefix of the report names of starts rejected by runners.
const REFUSAL_PREFIX: &str = "refusal ";

/// Counter values summed over the agents, by name and reason.
pub(crate) type Counters = BTreeMap<String, u64>;

/// Reads the counters of all reachable agents and sums them.
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

/// Increase of each counter between two readings, without those that did not change.
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

/// Number of messages between homes and runners that did not lead to a start.
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

/// Total CPU time of the processes; exited processes count as zero.
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
