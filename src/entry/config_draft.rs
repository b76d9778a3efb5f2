//! Makes the document that a change would put in force.

use {
    super::{ApplyError, InForce},
    crate::{
        conf::{
            DocumentRules, Fault, merge_sections, read_document_with, section_texts,
            split_version_comment, with_zone_state,
        },
        core::config::{
            BasedOn, ChangeInput, ChangeRefusal, Document, Head, SECTIONS, SectionState, Sections,
            ZoneState,
        },
    },
    std::collections::BTreeSet,
};

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Edit {
    /// A document that was made from these versions.
    Document {
        /// The document's text.
        text: String,
        /// The versions that it was made from.
        based_on: BasedOn,
    },
    /// One availability zone opened or taken out, whatever else has changed.
    Zone {
        /// The availability zone.
        zone: String,
        /// What it becomes.
        state: ZoneState,
    },
}

/// A change as an operator asks for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    /// What is to change.
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
    /// The sections that it changes; none if it is in force already.
    pub(crate) taken: Vec<&'static str>,
}

/// An operator's document, and what is needed to merge it into the one in force.
#[derive(Debug)]
pub(crate) struct Proposal<'a> {
    text: &'a str,
    /// The document that the text says by itself, if it breaks no rule.
    whole: Option<Document>,
    based_on: BasedOn,
    sections: Sections<Document>,
    current: Sections<Document>,
    in_force: &'a InForce,
    owned: &'a [String],
    rules: DocumentRules,
}

/// A document's sections, as the plan compares them.
pub(crate) fn sections_of(document: &Document, text: &str) -> Sections<Document> {
    let mut texts = section_texts(text);
    SECTIONS
        .into_iter()
        .map(|section| {
            let state = SectionState {
                meaning: document.only(section),
                text: texts.remove(section).unwrap_or_default(),
            };
            (section, state)
        })
        .collect()
}

impl Change {
    /// The operator's whole document and the versions it was made from.
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

    /// The rules for the document that this change puts in force.
    fn rules(&self, in_force: &InForce) -> DocumentRules {
        if self.close_last_zone {
            return DocumentRules::Complete;
        }
        let open_now: BTreeSet<String> = in_force.document.open_zones().cloned().collect();
        DocumentRules::Change { open_now }
    }
}

/// All sections as of one version of the document.
pub(crate) fn based_on_all(version: u64) -> BasedOn {
    SECTIONS
        .into_iter()
        .map(|section| (section, version))
        .collect()
}

impl<'a> Proposal<'a> {
    /// Reads an operator's document; its faults of form are found here. One that breaks other
    /// rules may still do so no longer once it is merged.
    pub(crate) fn new(
        change: &Change,
        text: &'a str,
        based_on: BasedOn,
        in_force: &'a InForce,
        owned: &'a [String],
    ) -> Result<Self, ApplyError> {
        let rules = change.rules(in_force);
        let (sections, whole) = match read_document_with(text, &rules) {
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
            whole,
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
            mine: &self.sections,
            current: &self.current,
            head: &self.in_force.head,
            owned: self.owned,
        }
    }

    /// The sections whose text at an earlier version is needed to decide.
    pub(crate) fn bases_needed(&self) -> Vec<(&'static str, u64)> {
        self.input().bases_needed()
    }

    /// Merges the document into the one in force and checks the result as a whole.
    pub(crate) fn draft(&self, bases: &Sections<Document>) -> Result<Draft, ApplyError> {
        let taken = self.input().plan(bases).map_err(|refusal| match refusal {
            ChangeRefusal::Forbidden(section) => ApplyError::Forbidden(section.to_owned()),
            ChangeRefusal::Conflict(conflicts) => {
                ApplyError::Conflict(self.in_force.head.version, conflicts)
            }
        })?;
        let text = self.merged_text(&taken);
        let document = match &self.whole {
            Some(whole) if text == self.text => whole.clone(),
            _ => read_document_with(&text, &self.rules)
                .map_err(|faults| self.with_lines_of_mine(&text, faults))?,
        };
        Ok(Draft {
            text,
            document,
            taken,
        })
    }

    /// The operator's own text if it is the whole result, else a merged one.
    fn merged_text(&self, taken: &[&'static str]) -> String {
        let all_mine = SECTIONS.into_iter().all(|section| {
            taken.contains(&section) || self.sections.get(section) == self.current.get(section)
        });
        if all_mine && !taken.is_empty() {
            return self.text.to_owned();
        }
        merge_sections(&self.in_force.text, self.text, taken)
    }

    /// Faults of a merged text at the lines of the operator's own file, where it has them too.
    fn with_lines_of_mine(&self, merged: &str, mut faults: Vec<Fault>) -> ApplyError {
        if merged != self.text {
            let mine = read_document_with(self.text, &self.rules)
                .err()
                .unwrap_or_default();
            for fault in &mut faults {
                let same = mine
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
    /// Nothing: what stands before the first configuration.
    pub(crate) fn nothing() -> Self {
        Self {
            head: Head::default(),
            text: "".into(),
            document: Document::default().into(),
        }
    }
}
