//! Bodies and queries of operators' requests.

use {
    crate::{
        conf::split_version_comment,
        core::config::{BasedOn, SECTIONS},
        entry::based_on_all,
    },
    serde::Deserialize,
    std::collections::BTreeMap,
};

/// A document to apply or to compare.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeBody {
    pub(crate) text: String,
    /// Versions that the document is based on. If absent, the document's first line names one.
    #[serde(default)]
    pub(crate) based_on: Option<BasedOnBody>,
    /// Allows closing the last open availability zone.
    #[serde(default)]
    pub(crate) close_last_zone: bool,
}

/// Versions that a document is based on.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum BasedOnBody {
    /// The same version for all sections.
    Version(u64),
    /// A version per section; a section that isn't listed is based on version 0.
    Sections(BTreeMap<String, u64>),
}

impl BasedOnBody {
    /// Returns the base version of each section. Without a base version every difference from the
    /// configuration in force is a conflict.
    pub(crate) fn sections(body: Option<Self>, text: &str) -> Result<BasedOn, String> {
        match body {
            Some(Self::Version(version)) => Ok(based_on_all(version)),
            Some(Self::Sections(versions)) => by_section(&versions),
            None => Ok(based_on_all(split_version_comment(text).0.unwrap_or(0))),
        }
    }
}

fn by_section(versions: &BTreeMap<String, u64>) -> Result<BasedOn, String> {
    versions
        .iter()
        .map(|(name, version)| {
            SECTIONS
                .into_iter()
                .find(|section| section == name)
                .map(|section| (section, *version))
                .ok_or_else(|| format!("no section is named \"{name}\""))
        })
        .collect()
}

#[derive(Debug, Deserialize)]
pub(crate) struct ShowQuery {
    /// Version to show; defaults to the one in force.
    pub(crate) version: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct HistoryQuery {
    /// Number of versions to show, newest first.
    pub(crate) last: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ZoneQuery {
    /// Allows closing the last open zone.
    #[serde(default)]
    pub(crate) last: bool,
}
