//! Settings files and the configuration document, checked as a whole.

mod agent_settings;
mod document_reader;
mod entry_settings;
mod errors;
mod fault;
mod load;
mod log_settings;
mod table_reader;

#[cfg(test)]
mod tests;

pub(crate) use {
    agent_settings::{AgentSettings, PlacementSetting},
    document_reader::read_document,
    entry_settings::{EntrySettings, OperatorSettings},
    errors::ConfError,
    fault::Fault,
    load::load_settings,
    log_settings::{LogFormat, LogSettings},
    table_reader::TableReader,
};
