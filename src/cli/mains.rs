//! Main functions of the programs.

use {
    super::{
        RunError,
        args::{AgentArgs, EntryArgs, LoadArgs, OperatorArgs, StandinArgs, StandinCommand},
        commands,
        exit::exit_code,
    },
    crate::{
        adapters::logging::init_logging,
        agent::run_agent,
        conf::{AgentProgramSettings, EntryProgramSettings, load_settings},
        entry::run_entry,
        load::run_load,
        site_agent::run_site_agent,
        site_entry::run_site_entry,
        standin::{
            run_agents, run_backend, run_jobs, run_platform, run_site_store, run_site_worker,
        },
    },
    clap::Parser,
    std::{future::Future, process::ExitCode},
    tokio::runtime::Builder,
};

/// Runtime threads of a process, which shares its host with other processes.
const RUNTIME_THREADS: usize = 2;

fn block_on(work: impl Future<Output = Result<(), RunError>>) -> Result<(), RunError> {
    Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?
        .block_on(work)
}

/// Runs on a single thread, because a process on a site has only a fraction of one core.
fn block_on_one_thread(work: impl Future<Output = Result<(), RunError>>) -> Result<(), RunError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?
        .block_on(work)
}

/// Runs `rattanslip-entry`.
pub fn entry_main() -> ExitCode {
    let args = EntryArgs::parse();
    exit_code(run_entry_with(&args))
}

fn run_entry_with(args: &EntryArgs) -> Result<(), RunError> {
    let program_settings = load_settings(&args.settings, EntryProgramSettings::read)?;
    init_logging(program_settings.log());
    match program_settings {
        EntryProgramSettings::Standalone(settings) => block_on(run_entry(settings)),
        EntryProgramSettings::Site(settings) => block_on_one_thread(run_site_entry(settings)),
    }
}

/// Runs `rattanslip-agent`.
pub fn agent_main() -> ExitCode {
    let args = AgentArgs::parse();
    exit_code(run_agent_with(&args))
}

fn run_agent_with(args: &AgentArgs) -> Result<(), RunError> {
    let program_settings = load_settings(&args.settings, AgentProgramSettings::read)?;
    init_logging(program_settings.log());
    match program_settings {
        AgentProgramSettings::Standalone(settings) => block_on(run_agent(settings)),
        AgentProgramSettings::Site(settings) => block_on_one_thread(run_site_agent(settings)),
    }
}

/// Runs `rattanslip-standin`.
pub fn standin_main() -> ExitCode {
    let args = StandinArgs::parse();
    exit_code(block_on(async {
        match args.command {
            StandinCommand::Platform(args) => run_platform(args).await,
            StandinCommand::Backend(args) => run_backend(args).await,
            StandinCommand::SiteStore(args) => run_site_store(args).await,
            StandinCommand::SiteWorker(args) => run_site_worker(args).await,
            StandinCommand::Agents(args) => run_agents(args).await,
            StandinCommand::Jobs(args) => run_jobs(args).await,
        }
    }))
}

/// Runs `rattanslip-load`.
pub fn load_main() -> ExitCode {
    let args = LoadArgs::parse();
    exit_code(block_on(run_load(args)))
}

/// Runs `rattanslip`.
pub fn operator_main() -> ExitCode {
    let args = OperatorArgs::parse();
    exit_code(block_on(commands::run(args)))
}
