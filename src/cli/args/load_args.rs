//! Arguments of `rattanslip-load`.

use {clap::Parser, std::net::SocketAddr};

/// Sends jobs to entries at a set rate and checks every answer.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-load", version)]
pub(crate) struct LoadArgs {
    /// Client address of an entry; may be given several times
    #[arg(long = "entry", value_name = "ADDR", required = true)]
    pub(crate) entries: Vec<SocketAddr>,
    /// The service
    #[arg(long)]
    pub(crate) service: String,
    /// Jobs a second, on average, arriving at random
    #[arg(long, default_value_t = 10.0)]
    pub(crate) jobs_per_s: f64,
    /// Tasks of each job
    #[arg(long, default_value_t = 10)]
    pub(crate) tasks: u16,
    /// Shortest time that a task works
    #[arg(long, default_value_t = 50)]
    pub(crate) min_run_ms: u32,
    /// Longest time that a task works
    #[arg(long, default_value_t = 1_000)]
    pub(crate) max_run_ms: u32,
    /// Deadline of each job
    #[arg(long, default_value_t = 10_000)]
    pub(crate) deadline_ms: u64,
    /// How long to send
    #[arg(long, default_value_t = 10_000)]
    pub(crate) duration_ms: u64,
    /// Seed of arrivals and task times
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Print one JSON object
    #[arg(long)]
    pub(crate) json: bool,
}
