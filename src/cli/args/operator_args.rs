//! Command-line arguments of `rattanslip`.

use {
    clap::{Parser, Subcommand, ValueEnum},
    std::{net::SocketAddr, path::PathBuf},
};

/// Command line for operators and clients of rattanslip.
#[derive(Debug, Parser)]
#[command(name = "rattanslip", version)]
pub(crate) struct OperatorArgs {
    /// Client address of an entry
    #[arg(long, global = true, env = "RATTANSLIP_ENTRY", value_name = "ADDR")]
    pub(crate) entry: Option<SocketAddr>,
    /// Operator's token
    #[arg(
        long,
        global = true,
        env = "RATTANSLIP_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub(crate) token: Option<String>,
    /// Print JSON
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// The command
    #[command(subcommand)]
    pub(crate) command: OperatorCommand,
}

/// Kind of a file to check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum CheckKind {
    /// The configuration document
    Document,
    /// Settings file of `rattanslip-entry`
    Entry,
    /// Settings file of `rattanslip-agent`
    Agent,
}

/// Commands of `rattanslip`.
#[derive(Debug, Subcommand)]
pub(crate) enum OperatorCommand {
    /// Check a file and list all its faults
    Check {
        /// The file
        file: PathBuf,
        /// Kind of the file
        #[arg(long, value_enum, default_value = "document")]
        kind: CheckKind,
    },
    /// Show the log lines of one request in order of time
    Explain {
        /// ID of the request
        id: String,
        /// Log files of entries and agents
        #[arg(required = true, value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Read a token from standard input and print its digest for an entry's settings
    HashToken,
    /// Show what a configuration document would change
    Diff(DocumentArgs),
    /// Put a configuration document in force
    Apply(DocumentArgs),
    /// Show the configuration in force
    Show {
        /// Show this version instead
        #[arg(long)]
        version: Option<u64>,
    },
    /// List accepted changes
    History {
        /// Number of newest versions to list; 100 if not given
        #[arg(long)]
        last: Option<u64>,
    },
    /// Take an availability zone out of service or bring it back
    Zone {
        /// The direction
        #[command(subcommand)]
        command: ZoneCommand,
    },
    /// List the workers known to the entry
    Workers,
    /// Submit a job from a JSON file and print its outcome
    Submit {
        /// The file
        file: PathBuf,
        /// Ticket of the job; a new one is requested if neither ticket nor key is given
        #[arg(long, conflicts_with = "key")]
        ticket: Option<String>,
        /// Idempotency key of the job
        #[arg(long)]
        key: Option<String>,
    },
    /// Show the status or outcome of a job
    Status {
        /// Ticket of the job
        ticket: String,
    },
    /// Cancel a job
    Cancel {
        /// Ticket of the job
        ticket: String,
    },
}

/// A configuration document and the version it is based on.
#[derive(Debug, clap::Args)]
pub(crate) struct DocumentArgs {
    /// The file
    pub(crate) file: PathBuf,
    /// Version that the document is based on; read from its first line if not given (see `show`)
    #[arg(long, value_name = "VERSION")]
    pub(crate) based_on: Option<u64>,
    /// Allow closing the last open availability zone
    #[arg(long)]
    pub(crate) close_last_zone: bool,
}

/// Taking an availability zone out of service or back in.
#[derive(Debug, Subcommand)]
pub(crate) enum ZoneCommand {
    /// Take the zone out of service: no more tasks start there
    Out {
        /// The availability zone
        zone: String,
        /// Allow closing the last open availability zone
        #[arg(long)]
        last: bool,
    },
    /// Bring the zone back into service: tasks may start there again
    In {
        /// The availability zone
        zone: String,
    },
}
