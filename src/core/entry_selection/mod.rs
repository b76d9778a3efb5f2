//! Selection of the entries with which an agent maintains sessions.

mod entry_selection;

#[cfg(test)]
mod tests;

pub(crate) use entry_selection::{EntrySelection, SessionGoal};
