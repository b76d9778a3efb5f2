//! Arguments of `rattanslip-standin`.

use {
    clap::{Parser, Subcommand},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Stands in for outside systems in tests and demonstrations.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-standin", version)]
pub(crate) struct StandinArgs {
    /// What to stand in for
    #[command(subcommand)]
    pub(crate) command: StandinCommand,
}

/// The systems that can be stood in for.
#[derive(Debug, Subcommand)]
pub(crate) enum StandinCommand {
    /// The platform's transactional table and object store, in memory
    Platform(PlatformArgs),
    /// A backend server that announces itself and runs tasks
    Backend(BackendArgs),
    /// The published table store of a site, in memory
    SiteStore(PlatformArgs),
    /// The published worker of a site
    SiteWorker(SiteWorkerArgs),
    /// Many agents in one process, each with its own address, to measure slopes with
    Agents(AgentsArgs),
    /// Clients that send a steady stream of equal jobs
    Jobs(JobsArgs),
}

/// Arguments of the platform's stand-in.
#[derive(Debug, clap::Args)]
pub(crate) struct PlatformArgs {
    /// Where to listen
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
}

/// Arguments of the backend server's stand-in.
#[derive(Debug, clap::Args)]
pub(crate) struct BackendArgs {
    /// Where to listen
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
    /// HTTP address of the agent beside it
    #[arg(long, value_name = "ADDR")]
    pub(crate) agent: SocketAddr,
    /// A service that it runs; may be given several times
    #[arg(long = "service", value_name = "NAME", required = true)]
    pub(crate) services: Vec<String>,
    /// Tasks that it runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// Slots that it announces, if it promises more than it can do
    #[arg(long)]
    pub(crate) announced_slots: Option<u16>,
}

/// Arguments of the worker's stand-in on a site.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct SiteWorkerArgs {
    /// Where to listen
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: SocketAddr,
    /// Where the agent beside it takes reports
    #[arg(long, value_name = "ADDR")]
    pub(crate) agent: SocketAddr,
    /// Its name
    #[arg(long)]
    pub(crate) id: String,
    /// The service that it runs
    #[arg(long)]
    pub(crate) service: String,
    /// Its availability zone
    #[arg(long)]
    pub(crate) zone: String,
    /// Tasks that it runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// Pause between its reports
    #[arg(long, default_value_t = 1_500)]
    pub(crate) heartbeat_ms: u64,
}

/// Arguments of many agents in one process.
#[derive(Debug, clap::Args)]
pub(crate) struct AgentsArgs {
    /// How many agents
    #[arg(long)]
    pub(crate) count: u32,
    /// Address of the first agent; the others take the next ones
    #[arg(long, default_value = "127.77.0.1")]
    pub(crate) first_ip: Ipv4Addr,
    /// Number of the first worker; worker N is named wNNNN
    #[arg(long, default_value_t = 0)]
    pub(crate) first_number: u32,
    /// An availability zone, filled in turn; may be given several times
    #[arg(long = "zone", value_name = "NAME", required = true)]
    pub(crate) zones: Vec<String>,
    /// Peer address of an entry; may be given several times
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    pub(crate) entries: Vec<SocketAddr>,
    /// The backend server that all of them share; without it they run no tasks
    #[arg(long, value_name = "ADDR")]
    pub(crate) backend: Option<SocketAddr>,
    /// The backend server's service
    #[arg(long)]
    pub(crate) service: String,
    /// Tasks that each worker runs at a time
    #[arg(long, default_value_t = 8)]
    pub(crate) slots: u16,
    /// A line added to each agent's settings; may be given several times
    #[arg(long = "setting", value_name = "LINE")]
    pub(crate) settings: Vec<String>,
}

/// Arguments of a steady stream of equal jobs.
#[derive(Debug, clap::Args)]
pub(crate) struct JobsArgs {
    /// Client address of an entry
    #[arg(long, value_name = "ADDR")]
    pub(crate) entry: SocketAddr,
    /// The service
    #[arg(long)]
    pub(crate) service: String,
    /// Jobs a second, evenly spaced
    #[arg(long)]
    pub(crate) jobs_per_s: f64,
    /// Tasks of each job
    #[arg(long)]
    pub(crate) tasks: u16,
    /// How long each task works
    #[arg(long, default_value_t = 0)]
    pub(crate) work_ms: u32,
    /// Deadline of each job
    #[arg(long, default_value_t = 10_000)]
    pub(crate) deadline_ms: u64,
    /// How long to send
    #[arg(long)]
    pub(crate) duration_ms: u64,
}
