//! Stand-ins for outside systems, with faults to switch on; for tests and demonstrations only.

mod agents;
mod backend;
mod jobs;
mod platform;
mod platform_store;

pub(crate) use {agents::run_agents, backend::run_backend, jobs::run_jobs, platform::run_platform};

#[cfg(test)]
pub(crate) use platform_store::PlatformStore;
