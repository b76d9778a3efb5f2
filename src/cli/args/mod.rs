//! Command-line arguments of each program.

mod load_args;
mod operator_args;
mod program_args;
mod standin_args;

pub(crate) use {
    load_args::{LoadArgs, Shape, ZonedBackend},
    operator_args::{CheckKind, DocumentArgs, OperatorArgs, OperatorCommand, ZoneCommand},
    program_args::{AgentArgs, EntryArgs},
    standin_args::{
        AgentsArgs, BackendArgs, JobsArgs, PlatformArgs, SiteWorkerArgs, StandinArgs,
        StandinCommand,
    },
};
