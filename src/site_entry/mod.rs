//! `rattanslip-entry` on a site: takes clients' jobs and drives the dispatcher.

mod dispatch_loop;
mod front;
mod listing;
mod news_keeper;
mod process_note;
mod ready_probe;
mod run;
mod site_process;
mod state;
mod store_watch;

#[cfg(test)]
mod tests;

pub(crate) use {process_note::ProcessNote, run::run_site_entry, site_process::SiteProcess};
