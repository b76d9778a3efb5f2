//! Stand-ins for external systems with fault injection, and tools for measurements; for tests and
//! demonstrations only.

mod agents;
mod backend;
mod jobs;
mod platform;
mod platform_store;
mod rows_model;
mod site_store;
mod site_worker;
mod worker_model;

pub(crate) use {
    agents::run_agents, backend::run_backend, jobs::run_jobs, platform::run_platform,
    site_store::run_site_store, site_worker::run_site_worker,
};

#[cfg(test)]
pub(crate) use {platform_store::PlatformStore, worker_model::WorkerModel};
