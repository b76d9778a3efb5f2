//! Tests of an entry's components against fakes.

mod client_api;
mod config_changes;
mod entry_registration;
mod events;
mod fakes;
mod operator_rows;
mod site;
