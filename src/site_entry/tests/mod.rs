//! Tests of an entry's parts against fakes.

mod config_changes;
mod events;
mod fakes;
mod operator_rows;
mod site;
