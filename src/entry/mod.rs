//! The entry process: serves clients and operators, and forwards jobs to agents.

mod apply_error;
mod claims;
mod config_change;
mod config_draft;
mod config_store;
mod digest_exchange;
mod entry_state;
mod jobs;
mod membership;
mod peer_handler;
mod roster_sync;
mod run;

#[cfg(test)]
mod tests;

pub(crate) use {
    apply_error::ApplyError,
    claims::Claims,
    config_change::AppliedChange,
    config_draft::{Change, Edit, based_on_all},
    config_store::ConfigStore,
    entry_state::{EntryState, InForce},
    jobs::{JobIdentity, JobReport, Jobs, TicketSource},
    run::run_entry,
};
