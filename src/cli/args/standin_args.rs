//! Command-line arguments of `rattanslip-standin`.

use {
    clap::{Parser, Subcommand},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Simulates external systems for tests and demonstrations.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-standin", version)]
pub(crate) struct StandinArgs {
    /// The system to simulate
    #[command(subcommand)]
    pub(crate) command: StandinCommand,
}

/// Systems that can be simulated.
#[derive(Debug, Subcommand)]
pub(crate) enum StandinCommand {
    /// The platform's transactional table and object store, in memory
    Platform(PlatformArgs),
    /// A backend server that announces itself and runs tasks
    Backend(BackendArgs),
    /// The table store of a site, in memory
    SiteStore(PlatformArgs),
    /// A worker of a site
    SiteWorker(SiteWorkerArgs),
    /// Many agents in one process, each with its own address, for scaling measurements
    Agents(AgentsArgs),
    /// Clients that submit identical jobs at a constant rate
    Jobs(JobsArgs),
}

/// Arguments of the simulated platform or table store.
#[derive(Debug, clap::Args)]
pub(crate) struct PlatformArgs {
    /// Listen address
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
}

/// Arguments of the simulated backend server.
#[derive(Debug, clap::Args)]
pub(crate) struct BackendArgs {
    /// Listen address
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
    /// HTTP address of its agent
    #[arg(long, value_name = "ADDR")]
    pub(crate) agent: SocketAddr,
    /// Service that it runs; may be given several times
    #[arg(long = "service", value_name = "NAME", required = true)]
    pub(crate) services: Vec<String>,
    /// Number of tasks that it runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// Number of slots that it announces, if different from its slots
    #[arg(long)]
    pub(crate) announced_slots: Option<u16>,
}

/// Arguments of the simulated worker of a site.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct SiteWorkerArgs {
    /// Listen address
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
    /// Address on which its agent receives reports
    #[arg(long, value_name = "ADDR")]
    pub(crate) agent: SocketAddr,
    /// ID of the worker
    #[arg(long)]
    pub(crate) id: String,
    /// Service that it runs
    #[arg(long)]
    pub(crate) service: String,
    /// Availability zone of the worker
    #[arg(long)]
    pub(crate) zone: String,
    /// Number of tasks that it runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// Interval between its reports
    #[arg(long, default_value_t = 1_500)]
    pub(crate) heartbeat_ms: u64,
    /// Report at once and wait for the listen address while an earlier worker still uses it
    #[arg(long)]
    pub(crate) wait_for_address: bool,
}

/// Arguments of many agents in one process.
#[derive(Debug, clap::Args)]
pub(crate) struct AgentsArgs {
    /// Number of agents
    #[arg(long)]
    pub(crate) count: u32,
    /// IP address of the first agent; the others use the following ones
    #[arg(long, default_value = "127.77.0.1")]
    pub(crate) first_ip: Ipv4Addr,
    /// Number of the first worker; worker N is named wNNNN
    #[arg(long, default_value_t = 0)]
    pub(crate) first_number: u32,
    /// Availability zone, assigned to agents in rotation; may be given several times
    #[arg(long = "zone", value_name = "NAME", required = true)]
    pub(crate) zones: Vec<String>,
    /// Peer address of an entry; may be given several times
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    pub(crate) entries: Vec<SocketAddr>,
    /// Backend server shared by all agents; without it they run no tasks
    #[arg(long, value_name = "ADDR")]
    pub(crate) backend: Option<SocketAddr>,
    /// Service of the backend server
    #[arg(long)]
    pub(crate) service: String,
    /// Number of tasks that each worker runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// Line added to each agent's settings; may be given several times
    #[arg(long = "setting", value_name = "LINE")]
    pub(crate) settings: Vec<String>,
}

/// Arguments of the constant job load.
#[derive(Debug, clap::Args)]
pub(crate) struct JobsArgs {
    /// Client address of an entry
    #[arg(long, value_name = "ADDR")]
    pub(crate) entry: SocketAddr,
    /// Service of the jobs
    #[arg(long)]
    pub(crate) service: String,
    /// Jobs per second, evenly spaced
    #[arg(long)]
    pub(crate) jobs_per_s: f64,
    /// Number of tasks in each job
    #[arg(long)]
    pub(crate) tasks: u16,
    /// Duration of each task
    #[arg(long, default_value_t = 0)]
    pub(crate) work_ms: u32,
    /// Deadline of each job
    #[arg(long, default_value_t = 10_000)]
    pub(crate) deadline_ms: u64,
    /// Duration of the run
    #[arg(long)]
    pub(crate) duration_ms: u64,
}
