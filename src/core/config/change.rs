//! Three-way merge of a configuration change by section: the operator's base version, the proposed
//! document and the document in force.

use {
    super::{Head, SECTIONS, SectionHead},
    serde::Serialize,
    std::collections::BTreeMap,
};

/// One section of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SectionState<M> {
    /// The parsed section; compared to detect changes.
    pub(crate) value: M,
    /// The section's text with its comments.
    pub(crate) text: String,
}

/// The sections of one document; a missing one is empty.
pub(crate) type Sections<M> = BTreeMap<&'static str, SectionState<M>>;

/// The versions that the proposed document is based on, by section; a missing one is zero.
pub(crate) type BasedOn = BTreeMap<&'static str, u64>;

/// A section that another operator changed after the base version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct SectionConflict {
    pub(crate) section: &'static str,
    /// The version that the proposed document is based on.
    pub(crate) based_on: u64,
    /// The latest change of the section.
    #[serde(flatten)]
    pub(crate) changed: SectionHead,
}

/// Why a change is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeRejection {
    /// The operator may not change this section.
    Forbidden(&'static str),
    /// Other operators changed these sections after the base version, to different values.
    Conflict(Vec<SectionConflict>),
}

/// Input of the merge.
#[derive(Debug)]
pub(crate) struct ChangeInput<'a, M> {
    /// The versions that the proposed document is based on.
    pub(crate) based_on: &'a BasedOn,
    /// The document that the operator submitted.
    pub(crate) proposed: &'a Sections<M>,
    /// The document in force.
    pub(crate) current: &'a Sections<M>,
    /// The head in force.
    pub(crate) head: &'a Head,
    /// The sections that the operator may change.
    pub(crate) owned: &'a [String],
}

enum Resolution {
    Keep,
    Apply,
    Forbidden,
    Conflict,
}

impl<M: Default + PartialEq> ChangeInput<'_, M> {
    /// Returns the sections whose base text [`plan`](Self::plan) needs: they changed after the base
    /// version, and the proposed value differs from the one in force.
    pub(crate) fn bases_needed(&self) -> Vec<(&'static str, u64)> {
        SECTIONS
            .into_iter()
            .filter(|section| self.changed_since(section) && !self.matches_current(section))
            .map(|section| (section, self.based_on(section)))
            .collect()
    }

    /// Returns the sections to replace by the proposed ones; all others stay as they are in force.
    pub(crate) fn plan(&self, bases: &Sections<M>) -> Result<Vec<&'static str>, ChangeRejection> {
        let mut applied = Vec::new();
        let mut conflicts = Vec::new();
        for section in SECTIONS {
            match self.resolve(section, bases) {
                Resolution::Keep => {}
                Resolution::Apply => applied.push(section),
                Resolution::Forbidden => return Err(ChangeRejection::Forbidden(section)),
                Resolution::Conflict => conflicts.extend(self.conflict(section)),
            }
        }
        if conflicts.is_empty() {
            return Ok(applied);
        }
        Err(ChangeRejection::Conflict(conflicts))
    }

    fn resolve(&self, section: &'static str, bases: &Sections<M>) -> Resolution {
        let changed_since = self.changed_since(section);
        let owned = self.owned.iter().any(|own| own == section);
        if self.matches_current(section) {
            // Only comments can differ; those of a section that the operator doesn't own stay.
            let comments = text(self.proposed, section) != text(self.current, section);
            return if comments && owned && !changed_since {
                Resolution::Apply
            } else {
                Resolution::Keep
            };
        }
        if changed_since && same_value(self.proposed, bases, section) {
            // Another operator changed the section, this one didn't.
            return Resolution::Keep;
        }
        match (owned, changed_since) {
            (false, _) => Resolution::Forbidden,
            (true, true) => Resolution::Conflict,
            (true, false) => Resolution::Apply,
        }
    }

    fn conflict(&self, section: &'static str) -> Option<SectionConflict> {
        let changed = self.head.sections.get(section)?.clone();
        Some(SectionConflict {
            section,
            based_on: self.based_on(section),
            changed,
        })
    }

    fn based_on(&self, section: &str) -> u64 {
        self.based_on.get(section).copied().unwrap_or(0)
    }

    fn changed_since(&self, section: &str) -> bool {
        self.head.section_version(section) > self.based_on(section)
    }

    fn matches_current(&self, section: &str) -> bool {
        same_value(self.proposed, self.current, section)
    }
}

fn same_value<M: Default + PartialEq>(a: &Sections<M>, b: &Sections<M>, section: &str) -> bool {
    let empty = M::default();
    let a_value = a.get(section).map_or(&empty, |state| &state.value);
    let b_value = b.get(section).map_or(&empty, |state| &state.value);
    a_value == b_value
}

fn text<'a, M>(sections: &'a Sections<M>, section: &str) -> &'a str {
    sections
        .get(section)
        .map_or("", |state| state.text.as_str())
}
