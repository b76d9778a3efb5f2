//! The roster of entries, and an agent's choice among them.

mod entry_choice;
mod roster;
mod roster_row;

#[cfg(test)]
mod tests;

pub(crate) use {
    entry_choice::EntryChoice,
    roster::{Roster, RosterScan},
    roster_row::{ROSTER_PREFIX, RosterRow, entry_key, heartbeat_key},
};
