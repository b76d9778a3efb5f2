//! Arguments of the programs that run as services.

use {clap::Parser, std::path::PathBuf};

/// Takes jobs and operators' changes at an entry host.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-entry", version)]
pub(crate) struct EntryArgs {
    /// Settings in TOML
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Runs jobs and tasks beside a backend server.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-agent", version)]
pub(crate) struct AgentArgs {
    /// Settings in TOML
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}
