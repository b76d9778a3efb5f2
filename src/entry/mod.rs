//! The entry: clients and operators on one side, agents on the other.

mod claims;
mod config_keeper;
mod entry_state;
mod jobs;
mod peer_handler;
mod run;

pub(crate) use {
    claims::Claims,
    config_keeper::{ApplyError, ConfigKeeper},
    entry_state::{EntryState, InForce},
    jobs::{JobReport, Jobs},
    run::run_entry,
};
