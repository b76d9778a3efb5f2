//! Tests of the merge against a reference model, and of the descriptions of differences.

use {
    super::{
        BasedOn, ChangeInput, ChangeRejection, Document, Head, SECTIONS, SectionHead, SectionState,
        Sections, Zone, ZoneState,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
};

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    }
}

/// A randomly generated change request.
#[derive(Debug, Clone)]
struct GeneratedChange {
    /// Position of the base version in the history, in percent.
    base_percent: usize,
    /// New value of each section; `None` leaves it as in the base version.
    values: [Option<u8>; 4],
    /// Whether the comments of each section change.
    comments: [bool; 4],
    owned: [bool; 4],
}

/// One version in the reference model.
#[derive(Debug, Clone, Default)]
struct Version {
    values: [u8; 4],
    comments: [usize; 4],
    changed: [bool; 4],
}

fn generated_change() -> impl Strategy<Value = GeneratedChange> {
    let value = prop::option::weighted(0.4, 0_u8..4);
    (
        0..=100_usize,
        [value.clone(), value.clone(), value.clone(), value],
        [prop::bool::weighted(0.2); 4],
        [prop::bool::weighted(0.8); 4],
    )
        .prop_map(|(base_percent, values, comments, owned)| GeneratedChange {
            base_percent,
            values,
            comments,
            owned,
        })
}

fn sections(version: &Version) -> Sections<u8> {
    let states = (0..4).map(|index| SectionState {
        value: version.values[index],
        text: format!("{} # {}", version.values[index], version.comments[index]),
    });
    SECTIONS.into_iter().zip(states).collect()
}

fn head(history: &[Version]) -> Head {
    let mut head = Head::default();
    for (version, entry) in history.iter().enumerate() {
        let changed: Vec<&'static str> = (0..4)
            .filter(|index| entry.changed[*index])
            .map(|index| SECTIONS[index])
            .collect();
        let change = SectionHead {
            version: version as u64,
            author: format!("author of {version}"),
            changed_at_ms: 0,
        };
        head = head.next(String::new(), &changed, &change);
    }
    head
}

/// Reference implementation of the merge; scans the complete history for each section.
fn expected_plan(
    history: &[Version],
    base: usize,
    proposed: &Version,
    owned: [bool; 4],
) -> Result<[bool; 4], String> {
    let current = history.last().expect("non-empty history");
    let mut applied = [false; 4];
    let mut conflicts = Vec::new();
    for index in 0..4 {
        let changed_since = history[base + 1..].iter().any(|entry| entry.changed[index]);
        let proposal_changed = proposed.values[index] != history[base].values[index];
        let same_as_current = proposed.values[index] == current.values[index];
        let comment_differs = proposed.comments[index] != current.comments[index];
        if same_as_current {
            applied[index] = !changed_since && owned[index] && comment_differs;
        } else if changed_since && !proposal_changed {
            // The section stays as the other operator changed it.
        } else if !owned[index] {
            return Err(format!("forbidden {}", SECTIONS[index]));
        } else if changed_since {
            conflicts.push(SECTIONS[index]);
        } else {
            applied[index] = true;
        }
    }
    if conflicts.is_empty() {
        return Ok(applied);
    }
    Err(format!("conflict {}", conflicts.join(" ")))
}

fn actual_plan(
    history: &[Version],
    base: usize,
    proposed: &Version,
    owned: [bool; 4],
) -> Result<[bool; 4], String> {
    let based_on: BasedOn = SECTIONS.map(|section| (section, base as u64)).into();
    let owned: Vec<String> = (0..4)
        .filter(|index| owned[*index])
        .map(|index| SECTIONS[index].to_owned())
        .collect();
    let (proposed, current) = (
        sections(proposed),
        sections(history.last().expect("non-empty history")),
    );
    let head = head(history);
    let input = ChangeInput {
        based_on: &based_on,
        proposed: &proposed,
        current: &current,
        head: &head,
        owned: &owned,
    };
    let mut bases = sections(&history[base]);
    let needed = input.bases_needed();
    bases.retain(|section, _| needed.contains(&(*section, base as u64)));
    match input.plan(&bases) {
        Ok(applied) => Ok(SECTIONS.map(|section| applied.contains(&section))),
        Err(ChangeRejection::Forbidden(section)) => Err(format!("forbidden {section}")),
        Err(ChangeRejection::Conflict(conflicts)) => {
            for conflict in &conflicts {
                assert!(conflict.changed.version > conflict.based_on);
                assert_eq!(
                    conflict.changed.version,
                    head.section_version(conflict.section)
                );
            }
            let names: Vec<&str> = conflicts.iter().map(|conflict| conflict.section).collect();
            Err(format!("conflict {}", names.join(" ")))
        }
    }
}

/// Merges changes with random base versions; an applied change may only alter the sections that the
/// reference rules allow.
#[test]
fn the_plan_matches_the_reference_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config(2_000), rng);
    let changes = prop::collection::vec(generated_change(), 1..25);
    runner
        .run(&changes, |changes| {
            let mut history = vec![Version::default()];
            for (number, change) in changes.into_iter().enumerate() {
                let base = (history.len() - 1) * change.base_percent / 100;
                let mut proposed = history[base].clone();
                for index in 0..4 {
                    proposed.values[index] = change.values[index].unwrap_or(proposed.values[index]);
                    if change.comments[index] {
                        proposed.comments[index] = number + 1;
                    }
                }
                let expected = expected_plan(&history, base, &proposed, change.owned);
                prop_assert_eq!(
                    &actual_plan(&history, base, &proposed, change.owned),
                    &expected
                );
                let Ok(applied) = expected else { continue };
                let mut next = history.last().expect("non-empty history").clone();
                next.changed = applied;
                for index in (0..4).filter(|index| applied[*index]) {
                    next.values[index] = proposed.values[index];
                    next.comments[index] = proposed.comments[index];
                }
                if applied.contains(&true) {
                    history.push(next);
                }
            }
            Ok(())
        })
        .expect("the plan matches the reference rules");
}

#[test]
fn differences_are_described_for_operators() {
    let zone = |state| Zone {
        region: "southwest".to_owned(),
        state,
    };
    let mut before = Document::default();
    before
        .zones
        .insert("keflavik".to_owned(), zone(ZoneState::Open));
    before
        .zones
        .insert("grindavik".to_owned(), zone(ZoneState::Open));
    let mut after = before.clone();
    after
        .zones
        .insert("keflavik".to_owned(), zone(ZoneState::Out));
    after.zones.remove("grindavik");
    after
        .zones
        .insert("sandgerdi".to_owned(), zone(ZoneState::Open));
    let words: Vec<String> = before
        .differences(&after)
        .into_iter()
        .map(|difference| difference.words)
        .collect();
    assert_eq!(
        words,
        [
            "availability zone grindavik removed",
            "availability zone keflavik: open -> out",
            "availability zone sandgerdi added: open, region southwest",
        ]
    );
    assert!(after.differences(&after).is_empty());
}
