//! `rattanslip-agent` on a site: drives the executor beside one worker.

mod dialler;
mod execution_loop;
mod run;
mod worker_ear;
mod worker_memory;

pub(crate) use run::run_site_agent;
