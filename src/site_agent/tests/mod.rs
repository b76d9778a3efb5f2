//! Tests of an agent's components against fakes.

mod entry_list;
mod entry_list_store;

pub(crate) use entry_list_store::EntryListStore;
