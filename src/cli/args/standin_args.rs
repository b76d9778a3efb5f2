//! Arguments of `rattanslip-standin`.

use {
    clap::{Parser, Subcommand},
    std::net::SocketAddr,
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
