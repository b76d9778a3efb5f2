//! Settings of `rattanslip-entry` and `rattanslip-agent` for each kind of deployment.

use super::{
    AgentSettings, EntrySettings, LogSettings, TableReader,
    site_settings::{Deployment, SiteAgentSettings, SiteEntrySettings},
};

/// Settings of `rattanslip-entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EntryProgramSettings {
    /// For a standalone deployment.
    Standalone(EntrySettings),
    /// For a site.
    Site(SiteEntrySettings),
}

impl EntryProgramSettings {
    /// Reads the root table of the settings file.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        match Deployment::read(reader) {
            Deployment::Standalone => Self::Standalone(EntrySettings::read(reader)),
            Deployment::Site => Self::Site(SiteEntrySettings::read(reader)),
        }
    }

    /// Settings of the process log.
    pub(crate) const fn log(&self) -> &LogSettings {
        match self {
            Self::Standalone(settings) => &settings.log,
            Self::Site(settings) => &settings.site.log,
        }
    }
}

/// Settings of `rattanslip-agent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AgentProgramSettings {
    /// For a standalone deployment.
    Standalone(AgentSettings),
    /// For a site.
    Site(SiteAgentSettings),
}

impl AgentProgramSettings {
    /// Reads the root table of the settings file.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        match Deployment::read(reader) {
            Deployment::Standalone => Self::Standalone(AgentSettings::read(reader)),
            Deployment::Site => Self::Site(SiteAgentSettings::read(reader)),
        }
    }

    /// Settings of the process log.
    pub(crate) const fn log(&self) -> &LogSettings {
        match self {
            Self::Standalone(settings) => &settings.log,
            Self::Site(settings) => &settings.site.log,
        }
    }
}
