//! Arguments of `rattanslip-load`.

use {
    clap::{Parser, ValueEnum},
    std::{net::SocketAddr, str::FromStr},
};

/// A backend server with the availability zone that it stands in, written `ZONE=ADDR`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ZonedBackend {
    /// The availability zone.
    pub(crate) availability_zone: String,
    /// Where the backend server listens.
    pub(crate) addr: SocketAddr,
}

impl FromStr for ZonedBackend {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (zone, addr) = text.split_once('=').ok_or("write ZONE=ADDR")?;
        Ok(Self {
            availability_zone: zone.to_owned(),
            addr: addr.parse().map_err(|_| "write ZONE=IP:PORT")?,
        })
    }
}

/// Sizes of jobs and times of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Shape {
    /// Mostly single tasks of 50 ms to 1 s, some jobs of up to 20, a few tasks of several seconds
    Mixed,
    /// Jobs of 200 tasks of 20 ms
    Wide,
}

/// Sends jobs to entries at a set rate, checks every answer and measures against the ideal.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-load", version)]
pub(crate) struct LoadArgs {
    /// Client address of an entry; may be given several times
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    pub(crate) entries: Vec<SocketAddr>,
    /// The service
    #[arg(long)]
    pub(crate) service: String,
    /// The team that the jobs are submitted for
    #[arg(long, default_value = "")]
    pub(crate) team: String,
    /// Offered work as a share of what the slots can do
    #[arg(long, default_value_t = 0.8)]
    pub(crate) load: f64,
    /// Slots of the deployment
    #[arg(long, default_value_t = 88)]
    pub(crate) slots: usize,
    /// Sizes of jobs and times of tasks
    #[arg(long, value_enum, default_value_t = Shape::Mixed)]
    pub(crate) shape: Shape,
    /// How many times the rate grows during bursts of a tenth of each second; 1 for none
    #[arg(long, default_value_t = 1.0)]
    pub(crate) burst_factor: f64,
    /// Declared times are wrong by up to this factor, either way
    #[arg(long, default_value_t = 10.0)]
    pub(crate) declared_error: f64,
    /// Deadline of each job beyond its longest task
    #[arg(long, default_value_t = 10_000)]
    pub(crate) slack_ms: u64,
    /// How long to send
    #[arg(long, default_value_t = 10_000)]
    pub(crate) duration_ms: u64,
    /// Start of the window in which work is counted
    #[arg(long, default_value_t = 1_000)]
    pub(crate) warmup_ms: u64,
    /// Seed of arrivals and task times
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Tasks may run more than once
    #[arg(long)]
    pub(crate) repeatable: bool,
    /// Send what was not done again, whatever the verdict says
    #[arg(long)]
    pub(crate) blind_retry: bool,
    /// Share of jobs that are cancelled together in the middle of the run
    #[arg(long, default_value_t = 0.0)]
    pub(crate) cancel_share: f64,
    /// Share of jobs whose tasks no worker can hold
    #[arg(long, default_value_t = 0.0)]
    pub(crate) impossible_share: f64,
    /// A backend server whose record of starts is read; may be given several times
    #[arg(long = "backend", value_name = "ZONE=ADDR")]
    pub(crate) backends: Vec<ZonedBackend>,
    /// HTTP address of an agent whose counters are read; may be given several times
    #[arg(long = "agent", value_name = "ADDR")]
    pub(crate) agents: Vec<SocketAddr>,
    /// An entry's process, for its processor time; may be given several times
    #[arg(long = "entry-pid", value_name = "PID")]
    pub(crate) entry_pids: Vec<u32>,
    /// An agent's process, for its processor time; may be given several times
    #[arg(long = "agent-pid", value_name = "PID")]
    pub(crate) agent_pids: Vec<u32>,
    /// Take this availability zone out of service during the run and bring it back
    #[arg(long, value_name = "ZONE")]
    pub(crate) zone_out: Option<String>,
    /// When it is taken out
    #[arg(long, default_value_t = 2_000)]
    pub(crate) zone_out_at_ms: u64,
    /// When it is brought back
    #[arg(long, default_value_t = 6_000)]
    pub(crate) zone_in_at_ms: u64,
    /// The operator's token
    #[arg(long, env = "RATTANSLIP_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// Print one JSON object
    #[arg(long)]
    pub(crate) json: bool,
}
