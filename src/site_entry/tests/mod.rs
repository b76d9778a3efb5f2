//! Tests of an entry's parts against fakes.

mod config_changes;
mod events;
mod fakes;
mod news;
mod site;
