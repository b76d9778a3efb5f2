//! Selection of the entries with which an agent maintains sessions.

mod entry_selection;
mod rendezvous;

#[cfg(test)]
mod tests;

pub(crate) use {
    entry_selection::{EntrySelection, SessionGoal},
    rendezvous::rendezvous_weight,
};
