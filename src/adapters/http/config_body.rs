//! What operators send with their calls.

use {
    crate::{
        conf::split_version_comment,
        core::config::{BasedOn, SECTIONS},
        entry::based_on_all,
    },
    serde::Deserialize,
    std::collections::BTreeMap,
};

/// A document on its way to be applied or compared.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeBody {
    /// The document's text.
    pub(crate) text: String,
    /// The versions that it was made from; the document's first line says it otherwise.
    #[serde(default)]
    pub(crate) based_on: Option<BasedOnBody>,
    /// Whether the last open availability zone may be closed.
    #[serde(default)]
    pub(crate) close_last_zone: bool,
}

/// What a document was made from.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum BasedOnBody {
    /// One version for all sections.
    Version(u64),
    /// A version for each section; one that isn't listed was made from nothing.
    Sections(BTreeMap<String, u64>),
}

impl BasedOnBody {
    /// The versions by section. A document that doesn't say what it was made from was made from
    /// nothing: whatever it says differently from the one in force is a conflict.
    pub(crate) fn sections(body: Option<Self>, text: &str) -> Result<BasedOn, String> {
        match body {
            Some(Self::Version(version)) => Ok(based_on_all(version)),
            Some(Self::Sections(stated)) => by_section(&stated),
            None => Ok(based_on_all(split_version_comment(text).0.unwrap_or(0))),
        }
    }
}

fn by_section(stated: &BTreeMap<String, u64>) -> Result<BasedOn, String> {
    stated
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

/// Which version to show.
#[derive(Debug, Deserialize)]
pub(crate) struct ShowQuery {
    /// The version; the one in force if not given.
    pub(crate) version: Option<u64>,
}

/// How much of the history to show.
#[derive(Debug, Deserialize)]
pub(crate) struct HistoryQuery {
    /// The number of newest versions.
    pub(crate) last: Option<u64>,
}

/// How to take a zone out.
#[derive(Debug, Deserialize)]
pub(crate) struct ZoneQuery {
    /// Whether it may be the last open one.
    #[serde(default)]
    pub(crate) last: bool,
}
