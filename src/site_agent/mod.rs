//! `rattanslip-agent` on a site: runs the executor next to one worker.

mod dialler;
mod entry_list_watcher;
mod execution_loop;
mod run;
mod stale_entry_remover;
mod worker_report_handler;
mod worker_view_store;

#[cfg(test)]
mod tests;

pub(crate) use run::run_site_agent;

#[cfg(test)]
pub(crate) use execution_loop::changed_document;
