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
    pub(crate) meaning: M,
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
pub(crate) enum ChangeRefusal {
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
    pub(crate) mine: &'a Sections<M>,
    /// The document in force.
    pub(crate) current: &'a Sections<M>,
    /// The head in force.
    pub(crate) head: &'a Head,
    /// Sections that the operator may change.
    pub(crate) owned: &'a [String],
}

enum Fate {
    Keep,
    Take,
    Forbidden,
    Conflict,
}

impl<M: Default + PartialEq> ChangeInput<'_, M> {
    /// The sections whose text at `based_on` is needed to decide: they have been changed since,
    /// and the operator's document says something else than the one in force.
    pub(crate) fn bases_needed(&self) -> Vec<(&'static str, u64)> {
        SECTIONS
            .into_iter()
            .filter(|section| self.changed_since(section) && !self.agrees(section))
            .map(|section| (section, self.based_on(section)))
            .collect()
    }

    /// The sections to take from the operator's document; all others stay as they are in force.
    pub(crate) fn plan(&self, bases: &Sections<M>) -> Result<Vec<&'static str>, ChangeRefusal> {
        let mut taken = Vec::new();
        let mut conflicts = Vec::new();
        for section in SECTIONS {
            match self.fate(section, bases) {
                Fate::Keep => {}
                Fate::Take => taken.push(section),
                Fate::Forbidden => return Err(ChangeRefusal::Forbidden(section)),
                Fate::Conflict => conflicts.extend(self.conflict(section)),
            }
        }
        if conflicts.is_empty() {
            return Ok(taken);
        }
        Err(ChangeRefusal::Conflict(conflicts))
    }

    fn fate(&self, section: &'static str, bases: &Sections<M>) -> Fate {
        let changed_since = self.changed_since(section);
        let owned = self.owned.iter().any(|own| own == section);
        if self.agrees(section) {
            // Only comments can differ; who doesn't own the section leaves them alone.
            let comments = text(self.mine, section) != text(self.current, section);
            return if comments && owned && !changed_since {
                Fate::Take
            } else {
                Fate::Keep
            };
        }
        if changed_since && same_meaning(self.mine, bases, section) {
            // Someone else changed it, this operator did not.
            return Fate::Keep;
        }
        match (owned, changed_since) {
            (false, _) => Fate::Forbidden,
            (true, true) => Fate::Conflict,
            (true, false) => Fate::Take,
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

    fn agrees(&self, section: &str) -> bool {
        same_meaning(self.mine, self.current, section)
    }
}

fn same_meaning<M: Default + PartialEq>(a: &Sections<M>, b: &Sections<M>, section: &str) -> bool {
    let empty = M::default();
    let meaning_of_a = a.get(section).map_or(&empty, |state| &state.meaning);
    let meaning_of_b = b.get(section).map_or(&empty, |state| &state.meaning);
    meaning_of_a == meaning_of_b
}

fn text<'a, M>(sections: &'a Sections<M>, section: &str) -> &'a str {
    sections
        .get(section)
        .map_or("", |state| state.text.as_str())
}
