//! Tests of an agent's components.

mod dialler;
mod entry_list;
mod worker_view;
