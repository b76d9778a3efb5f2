//! `rattanslip-entry` on a site: takes clients' jobs and drives the dispatcher.

mod dispatch_loop;
mod front;
mod listing;
mod operator_rows_watcher;
mod process_log_event;
mod ready_probe;
mod run;
mod site_process;
mod state;
mod store_watch;

#[cfg(test)]
mod tests;

pub(crate) use {
    process_log_event::ProcessLogEvent, run::run_site_entry, site_process::SiteProcess,
};
