//! The list of entries in the store, from which agents discover entries.

mod entry_list;
mod entry_list_replica;

#[cfg(test)]
mod tests;

pub(crate) use {
    entry_list::{EntryList, EntryListChange},
    entry_list_replica::EntryListReplica,
};
