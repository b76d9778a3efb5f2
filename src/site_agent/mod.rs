//! `rattanslip-agent` on a site: drives the executor beside one worker.

mod dialler;
mod execution_loop;
mod run;
mod worker_report_handler;
mod worker_view_store;

pub(crate) use run::run_site_agent;
