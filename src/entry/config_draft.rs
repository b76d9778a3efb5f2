//! Builds the document that a change would put in force.

use {
    super::{ApplyError, InForce},
    crate::{
        conf::{
            DocumentRules, Fault, merge_sections, read_document_with, section_texts,
            split_version_comment, with_zone_state,
        },
        core::config::{
            BasedOn, ChangeInput, ChangeRejection, Document, Head, SECTIONS, SectionState,
            Sections, ZoneState,
        },
    },
    std::collections::BTreeSet,
};

/// An operator's edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Edit {
    /// A document edited from these base versions.
    Document {
        /// The document's text.
        text: String,
        /// The base version of each section.
        based_on: BasedOn,
    },
    /// Opens or closes one availability zone, regardless of other changes.
    Zone {
        /// The availability zone.
        zone: String,
        /// The zone's new state.
        state: ZoneState,
    },
}

/// A configuration change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    /// The requested edit.
    pub(crate) edit: Edit,
    /// Whether the last open availability zone may be closed.
    pub(crate) close_last_zone: bool,
}

/// The document that a change would put in force.
#[derive(Debug, Clone)]
pub(crate) struct Draft {
    /// The text.
    pub(crate) text: String,
    /// The document.
    pub(crate) document: Document,
    /// The changed sections; empty if the document is already in force.
    pub(crate) changed: Vec<&'static str>,
}

/// An operator's document and the input for merging it into the one in force.
#[derive(Debug)]
pub(crate) struct Proposal<'a> {
    text: &'a str,
    /// The parsed text, if it is valid without merging.
    standalone: Option<Document>,
    based_on: BasedOn,
    sections: Sections<Document>,
    current: Sections<Document>,
    in_force: &'a InForce,
    owned: &'a [String],
    rules: DocumentRules,
}

/// Splits a document into sections for comparison.
pub(crate) fn sections_of(document: &Document, text: &str) -> Sections<Document> {
    let mut texts = section_texts(text);
    SECTIONS
        .into_iter()
        .map(|section| {
            let state = SectionState {
                value: document.only_section(section),
                text: texts.remove(section).unwrap_or_default(),
            };
            (section, state)
        })
        .collect()
}

impl Change {
    /// Returns the operator's complete document and its base versions.
    pub(crate) fn document(&self, in_force: &InForce) -> Result<(String, BasedOn), ApplyError> {
        match &self.edit {
            Edit::Document { text, based_on } => {
                let (_, text) = split_version_comment(text);
                Ok((text.to_owned(), based_on.clone()))
            }
            Edit::Zone { zone, state } => {
                let text = with_zone_state(&in_force.text, zone, *state)
                    .ok_or_else(|| ApplyError::UnknownZone(zone.clone()))?;
                Ok((text, based_on_all(in_force.head.version)))
            }
        }
    }

    /// Returns the rules that the changed document must meet.
    fn rules(&self, in_force: &InForce) -> DocumentRules {
        if self.close_last_zone {
            return DocumentRules::Complete;
        }
        let open_now: BTreeSet<String> = in_force.document.open_zones().cloned().collect();
        DocumentRules::Change { open_now }
    }
}

/// Returns one version as the base of all sections.
pub(crate) fn based_on_all(version: u64) -> BasedOn {
    SECTIONS
        .into_iter()
        .map(|section| (section, version))
        .collect()
}

impl<'a> Proposal<'a> {
    /// Parses an operator's document; fails if it is malformed. Other rules are checked again after
    /// the merge, which may fix a violation.
    pub(crate) fn new(
        change: &Change,
        text: &'a str,
        based_on: BasedOn,
        in_force: &'a InForce,
        owned: &'a [String],
    ) -> Result<Self, ApplyError> {
        let rules = change.rules(in_force);
        let (sections, standalone) = match read_document_with(text, &rules) {
            Ok(document) => (sections_of(&document, text), Some(document)),
            Err(faults) => {
                let document = read_document_with(text, &DocumentRules::Accepted)
                    .map_err(|_| ApplyError::Invalid(faults))?;
                (sections_of(&document, text), None)
            }
        };
        let newest = based_on.values().copied().max().unwrap_or(0);
        if newest > in_force.head.version {
            return Err(ApplyError::UnknownBase(newest));
        }
        Ok(Self {
            sections,
            standalone,
            current: sections_of(&in_force.document, &in_force.text),
            text,
            based_on,
            in_force,
            owned,
            rules,
        })
    }

    fn input(&self) -> ChangeInput<'_, Document> {
        ChangeInput {
            based_on: &self.based_on,
            proposed: &self.sections,
            current: &self.current,
            head: &self.in_force.head,
            owned: self.owned,
        }
    }

    /// Returns the sections whose text at an earlier version is needed for the merge.
    pub(crate) fn bases_needed(&self) -> Vec<(&'static str, u64)> {
        self.input().bases_needed()
    }

    /// Merges the document into the one in force and validates the result.
    pub(crate) fn draft(&self, bases: &Sections<Document>) -> Result<Draft, ApplyError> {
        let changed = self
            .input()
            .plan(bases)
            .map_err(|rejection| match rejection {
                ChangeRejection::Forbidden(section) => ApplyError::Forbidden(section.to_owned()),
                ChangeRejection::Conflict(conflicts) => {
                    ApplyError::Conflict(self.in_force.head.version, conflicts)
                }
            })?;
        let text = self.merged_text(&changed);
        let document = match &self.standalone {
            Some(standalone) if text == self.text => standalone.clone(),
            _ => read_document_with(&text, &self.rules)
                .map_err(|faults| self.with_original_lines(&text, faults))?,
        };
        Ok(Draft {
            text,
            document,
            changed,
        })
    }

    /// Returns the operator's text if merging would not alter its content, else the merged text.
    fn merged_text(&self, changed: &[&'static str]) -> String {
        let is_unmerged = SECTIONS.into_iter().all(|section| {
            changed.contains(&section) || self.sections.get(section) == self.current.get(section)
        });
        if is_unmerged && !changed.is_empty() {
            return self.text.to_owned();
        }
        merge_sections(&self.in_force.text, self.text, changed)
    }

    /// Replaces line numbers of the merged text by those of the operator's file, where it has the
    /// same fault.
    fn with_original_lines(&self, merged: &str, mut faults: Vec<Fault>) -> ApplyError {
        if merged != self.text {
            let original = read_document_with(self.text, &self.rules)
                .err()
                .unwrap_or_default();
            for fault in &mut faults {
                let same = original
                    .iter()
                    .find(|own| own.field == fault.field && own.message == fault.message);
                if let Some(own) = same {
                    fault.line = own.line;
                }
            }
        }
        ApplyError::Invalid(faults)
    }
}

impl InForce {
    /// Returns the state before the first configuration.
    pub(crate) fn empty() -> Self {
        Self {
            head: Head::default(),
            text: "".into(),
            document: Document::default().into(),
        }
    }
}
