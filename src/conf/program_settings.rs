//! The settings of a service program, for either kind of deployment.

use super::{
    AgentSettings, EntrySettings, LogSettings, TableReader,
    site_settings::{Deployment, SiteAgentSettings, SiteEntrySettings},
};

/// Settings of `rattanslip-entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EntryProgramSettings {
    /// With the product's own interfaces.
    Standalone(EntrySettings),
    /// On a site.
    Site(SiteEntrySettings),
}

impl EntryProgramSettings {
    /// Reads the file's root table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        match Deployment::read(reader) {
            Deployment::Standalone => Self::Standalone(EntrySettings::read(reader)),
            Deployment::Site => Self::Site(SiteEntrySettings::read(reader)),
        }
    }

    /// How the process logs.
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
    /// With the product's own interfaces.
    Standalone(AgentSettings),
    /// On a site.
    Site(SiteAgentSettings),
}

impl AgentProgramSettings {
    /// Reads the file's root table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        match Deployment::read(reader) {
            Deployment::Standalone => Self::Standalone(AgentSettings::read(reader)),
            Deployment::Site => Self::Site(SiteAgentSettings::read(reader)),
        }
    }

    /// How the process logs.
    pub(crate) const fn log(&self) -> &LogSettings {
        match self {
            Self::Standalone(settings) => &settings.log,
            Self::Site(settings) => &settings.site.log,
        }
    }
}
