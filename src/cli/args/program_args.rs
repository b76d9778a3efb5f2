//! Command-line arguments of `rattanslip-entry` and `rattanslip-agent`.

use {clap::Parser, std::path::PathBuf};

/// Accepts jobs from clients and configuration changes from operators.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-entry", version)]
pub(crate) struct EntryArgs {
    /// Settings file in TOML
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Serves as home for jobs and runs tasks on the local backend server.
#[derive(Debug, Parser)]
#[command(name = "rattanslip-agent", version)]
pub(crate) struct AgentArgs {
    /// Settings file in TOML
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}
