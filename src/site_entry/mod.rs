//! `rattanslip-entry` on a site: accepts clients' jobs and runs the dispatcher.

mod client_api;
mod dispatch_loop;
mod entry_registration;
mod operator_rows_watcher;
mod process_log_event;
mod run;
mod site_process;
mod state;
mod status_handlers;
mod store_health;

#[cfg(test)]
mod tests;

pub(crate) use {
    process_log_event::ProcessLogEvent, run::run_site_entry, site_process::SiteProcess,
};
