//! Decides what becomes of a change, section by section: a three-way merge of what the operator
//! started from, what the operator wants and what is in force now.

use {
    super::{Head, SECTIONS, SectionHead},
    serde::Serialize,
    std::collections::BTreeMap,
};

/// One section of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SectionState<M> {
    /// What the section says; compared to find changes.
    pub(crate) value: M,
    /// The section's text with its comments.
    pub(crate) text: String,
}

/// The sections of one document; one that isn't listed is empty.
pub(crate) type Sections<M> = BTreeMap<&'static str, SectionState<M>>;

/// The versions that an operator's document was made from, by section; zero if not listed.
pub(crate) type BasedOn = BTreeMap<&'static str, u64>;

/// A section that someone else changed since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct SectionConflict {
    /// The section.
    pub(crate) section: &'static str,
    /// The version that the operator's document was made from.
    pub(crate) based_on: u64,
    /// Who changed it since, when and in which version.
    #[serde(flatten)]
    pub(crate) changed: SectionHead,
}

/// Why a change can't be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeRejection {
    /// The operator may not change this section.
    Forbidden(&'static str),
    /// Others changed these sections since, to something else.
    Conflict(Vec<SectionConflict>),
}

/// What the plan is made from.
#[derive(Debug)]
pub(crate) struct ChangeInput<'a, M> {
    /// The versions that the operator's document was made from.
    pub(crate) based_on: &'a BasedOn,
    /// The operator's document.
    pub(crate) proposed: &'a Sections<M>,
    /// The document in force.
    pub(crate) current: &'a Sections<M>,
    /// The head in force.
    pub(crate) head: &'a Head,
    /// Sections that the operator may change.
    pub(crate) owned: &'a [String],
}

enum Resolution {
    Keep,
    Apply,
    Forbidden,
    Conflict,
}

impl<M: Default + PartialEq> ChangeInput<'_, M> {
    /// The sections whose text at `based_on` is needed to decide: they have been changed since,
    /// and the operator's document says something else than the one in force.
    pub(crate) fn bases_needed(&self) -> Vec<(&'static str, u64)> {
        SECTIONS
            .into_iter()
            .filter(|section| self.changed_since(section) && !self.matches_current(section))
            .map(|section| (section, self.based_on(section)))
            .collect()
    }

    /// The sections to take from the operator's document; all others stay as they are in force.
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
            // Only comments can differ; who doesn't own the section leaves them alone.
            let comments = text(self.proposed, section) != text(self.current, section);
            return if comments && owned && !changed_since {
                Resolution::Apply
            } else {
                Resolution::Keep
            };
        }
        if changed_since && same_value(self.proposed, bases, section) {
            // Someone else changed it, this operator did not.
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
