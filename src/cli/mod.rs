//! Command-line arguments, commands, exit codes and main functions of the programs.

mod args;
mod commands;
mod errors;
mod exit;
mod listen;
mod mains;
mod operator_client;
mod signals;

pub(crate) use {
    args::{
        AgentsArgs, BackendArgs, JobsArgs, LoadArgs, PlatformArgs, Shape, SiteWorkerArgs,
        ZonedBackend,
    },
    errors::RunError,
    listen::listen,
    operator_client::OperatorClient,
    signals::{log_reload_signals, stop_signal},
};

pub use mains::{agent_main, entry_main, load_main, operator_main, standin_main};
