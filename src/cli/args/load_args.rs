//! Arguments of `rattanslip-load`.

use {
    clap::{Parser, ValueEnum},
    std::{net::SocketAddr, str::FromStr},
};

/// A backend server and its availability zone, written `ZONE=ADDR`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ZonedBackend {
    /// The availability zone.
    pub(crate) availability_zone: String,
    /// Address of the backend server.
    pub(crate) addr: SocketAddr,
}

impl FromStr for ZonedBackend {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (zone, addr) = text.split_once('=').ok_or("expected ZONE=ADDR")?;
        Ok(Self {
            availability_zone: zone.to_owned(),
            addr: addr.parse().map_err(|_| "expected ZONE=IP:PORT")?,
        })
    }
}

/// Distribution of job sizes and task durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Shape {
    /// Mostly single tasks of 50 ms to 1 s, some jobs of up to 20 tasks, a few tasks of several seconds
    Mixed,
    /// Jobs of 200 tasks of 20 ms
    Wide,
}

/// Sends jobs to entries at a fixed rate, checks every response and compares the results with the ideal.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-load", version)]
pub(crate) struct LoadArgs {
    /// Client address of an entry; may be given several times
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    pub(crate) entries: Vec<SocketAddr>,
    /// Service of the jobs
    #[arg(long)]
    pub(crate) service: String,
    /// Team that the jobs are submitted for
    #[arg(long, default_value = "")]
    pub(crate) team: String,
    /// Offered load as a share of the capacity of all slots
    #[arg(long, default_value_t = 0.8)]
    pub(crate) load: f64,
    /// Number of slots in the deployment
    #[arg(long, default_value_t = 88)]
    pub(crate) slots: usize,
    /// Distribution of job sizes and task durations
    #[arg(long, value_enum, default_value_t = Shape::Mixed)]
    pub(crate) shape: Shape,
    /// Factor on the rate during a tenth of each second; 1 for no bursts
    #[arg(long, default_value_t = 1.0)]
    pub(crate) burst_factor: f64,
    /// Declared task durations are too long or too short by up to this factor
    #[arg(long, default_value_t = 10.0)]
    pub(crate) declared_error: f64,
    /// Deadline of each job in addition to its longest task
    #[arg(long, default_value_t = 10_000)]
    pub(crate) slack_ms: u64,
    /// Duration of the run
    #[arg(long, default_value_t = 10_000)]
    pub(crate) duration_ms: u64,
    /// Start of the measurement window
    #[arg(long, default_value_t = 1_000)]
    pub(crate) warmup_ms: u64,
    /// Seed of arrivals and task durations
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Declare the tasks safe to run more than once
    #[arg(long)]
    pub(crate) repeatable: bool,
    /// Resubmit every job that was not done, regardless of its verdict
    #[arg(long)]
    pub(crate) blind_retry: bool,
    /// Share of jobs that are cancelled at once in the middle of the run
    #[arg(long, default_value_t = 0.0)]
    pub(crate) cancel_share: f64,
    /// Share of jobs whose tasks exceed every worker
    #[arg(long, default_value_t = 0.0)]
    pub(crate) impossible_share: f64,
    /// Backend server whose record of starts is read; may be given several times
    #[arg(long = "backend", value_name = "ZONE=ADDR")]
    pub(crate) backends: Vec<ZonedBackend>,
    /// HTTP address of an agent whose counters are read; may be given several times
    #[arg(long = "agent", value_name = "ADDR")]
    pub(crate) agents: Vec<SocketAddr>,
    /// Process of an entry whose CPU time is measured; may be given several times
    #[arg(long = "entry-pid", value_name = "PID")]
    pub(crate) entry_pids: Vec<u32>,
    /// Process of an agent whose CPU time is measured; may be given several times
    #[arg(long = "agent-pid", value_name = "PID")]
    pub(crate) agent_pids: Vec<u32>,
    /// Availability zone that is taken out of service and brought back during the run
    #[arg(long, value_name = "ZONE")]
    pub(crate) zone_out: Option<String>,
    /// Time at which the zone is taken out
    #[arg(long, default_value_t = 2_000)]
    pub(crate) zone_out_at_ms: u64,
    /// Time at which the zone is brought back
    #[arg(long, default_value_t = 6_000)]
    pub(crate) zone_in_at_ms: u64,
    /// Operator's token
    #[arg(long, env = "RATTANSLIP_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// Print the result as one JSON object
    #[arg(long)]
    pub(crate) json: bool,
}
