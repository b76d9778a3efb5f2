//! `rattanslip-entry` on a site: takes clients' jobs and drives the dispatcher.

mod dispatch_loop;
mod front;
mod listing;
mod news_keeper;
mod process_note;
mod ready_probe;
mod run;
mod state;
mod store_watch;

#[cfg(test)]
mod tests;

pub(crate) use {process_note::ProcessNote, ready_probe::ServiceProbe, run::run_site_entry};
