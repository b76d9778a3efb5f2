//! Arguments of `rattanslip`.

use {
    clap::{Parser, Subcommand, ValueEnum},
    std::{net::SocketAddr, path::PathBuf},
};

/// Drives rattanslip from an operator's or a client's shell.
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
    /// What to do
    #[command(subcommand)]
    pub(crate) command: OperatorCommand,
}

/// What a file is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum CheckKind {
    /// The configuration document
    Document,
    /// Settings of `rattanslip-entry`
    Entry,
    /// Settings of `rattanslip-agent`
    Agent,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum OperatorCommand {
    /// Check a file and list all its faults
    Check {
        /// The file
        file: PathBuf,
        /// What the file is
        #[arg(long, value_enum, default_value = "document")]
        kind: CheckKind,
    },
    /// Show what the processes' logs say of one request, in order of time
    Explain {
        /// The request's id
        id: String,
        /// Logs of entries and agents
        #[arg(required = true, value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Read a token from standard input and print the digest for an entry's settings
    HashToken,
    /// Show what a configuration document would change
    Diff(DocumentArgs),
    /// Put a configuration document in force
    Apply(DocumentArgs),
    /// Show the configuration in force
    Show {
        /// Show it as it was at this version
        #[arg(long)]
        version: Option<u64>,
    },
    /// List accepted changes
    History {
        /// How many of the newest versions; 100 if not given
        #[arg(long)]
        last: Option<u64>,
    },
    /// Take an availability zone out of service or bring it back
    Zone {
        /// Which way
        #[command(subcommand)]
        command: ZoneCommand,
    },
    /// List workers as the entry sees them
    Workers,
    /// Submit a job read from a JSON file and print its answer
    Submit {
        /// The file
        file: PathBuf,
        /// The job's identity; a fresh ticket if neither is given
        #[arg(long, conflicts_with = "key")]
        ticket: Option<String>,
        /// The client's own key for the job
        #[arg(long)]
        key: Option<String>,
    },
    /// Ask after a job
    Status {
        /// The job's ticket
        ticket: String,
    },
    /// Give a job up
    Cancel {
        /// The job's ticket
        ticket: String,
    },
}

/// A document and what it was made from.
#[derive(Debug, clap::Args)]
pub(crate) struct DocumentArgs {
    /// The file
    pub(crate) file: PathBuf,
    /// The version that it was made from; if not given, its first line says so (see `show`)
    #[arg(long, value_name = "VERSION")]
    pub(crate) based_on: Option<u64>,
    /// Allow that no availability zone stays open
    #[arg(long)]
    pub(crate) close_last_zone: bool,
}

/// Which way an availability zone goes.
#[derive(Debug, Subcommand)]
pub(crate) enum ZoneCommand {
    /// No task starts there any more
    Out {
        /// The availability zone
        zone: String,
        /// Allow that no availability zone stays open
        #[arg(long)]
        last: bool,
    },
    /// Tasks may start there again
    In {
        /// The availability zone
        zone: String,
    },
}
