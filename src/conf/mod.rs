//! Parsing and validation of settings files and the configuration document.

mod agent_settings;
mod connection_settings;
mod document_reader;
mod document_rules;
mod entry_settings;
mod errors;
mod fault;
mod load;
mod log_settings;
mod program_settings;
mod section_texts;
mod site_settings;
mod table_reader;
mod zone_edit;

#[cfg(test)]
mod document_tests;
#[cfg(test)]
mod tests;

pub(crate) use {
    agent_settings::{AgentSettings, PlacementSetting},
    document_reader::{read_document, read_document_with},
    document_rules::DocumentRules,
    entry_settings::{EntrySettings, OperatorSettings},
    errors::ConfError,
    fault::Fault,
    load::load_settings,
    log_settings::{LogFormat, LogSettings},
    program_settings::{AgentProgramSettings, EntryProgramSettings},
    section_texts::{merge_sections, section_texts, split_version_comment, with_version_comment},
    site_settings::{SiteAgentSettings, SiteEntrySettings, SiteSettings},
    table_reader::TableReader,
    zone_edit::with_zone_state,
};
