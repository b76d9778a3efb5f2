//! Tests of the plan of a change against a naive model, and of differences in words.

use {
    super::{
        BasedOn, ChangeInput, ChangeRefusal, Document, Head, SECTIONS, SectionHead, SectionState,
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

/// A change as a generated operator asks for it.
#[derive(Debug, Clone)]
struct Wish {
    /// Which of the earlier versions it is based on, as a share of their number.
    base_percent: usize,
    /// What each section is set to; `None` leaves it as it was at the base.
    values: [Option<u8>; 4],
    /// Whether each section's comments are changed.
    comments: [bool; 4],
    owned: [bool; 4],
}

/// One version as the model keeps it: value, comment and who changed what.
#[derive(Debug, Clone, Default)]
struct Version {
    values: [u8; 4],
    comments: [usize; 4],
    changed: [bool; 4],
}

fn wish() -> impl Strategy<Value = Wish> {
    let value = prop::option::weighted(0.4, 0_u8..4);
    (
        0..=100_usize,
        [value.clone(), value.clone(), value.clone(), value],
        [prop::bool::weighted(0.2); 4],
        [prop::bool::weighted(0.8); 4],
    )
        .prop_map(|(base_percent, values, comments, owned)| Wish {
            base_percent,
            values,
            comments,
            owned,
        })
}

fn sections(version: &Version) -> Sections<u8> {
    let states = (0..4).map(|index| SectionState {
        meaning: version.values[index],
        text: format!("{} # {}", version.values[index], version.comments[index]),
    });
    SECTIONS.into_iter().zip(states).collect()
}

fn head(log: &[Version]) -> Head {
    let mut head = Head::default();
    for (version, entry) in log.iter().enumerate() {
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

/// The rules, said plainly: walks the whole history for each section.
fn naive(
    log: &[Version],
    base: usize,
    mine: &Version,
    owned: [bool; 4],
) -> Result<[bool; 4], String> {
    let current = log.last().expect("a version");
    let mut taken = [false; 4];
    let mut conflicts = Vec::new();
    for index in 0..4 {
        let since = log[base + 1..].iter().any(|entry| entry.changed[index]);
        let i_changed = mine.values[index] != log[base].values[index];
        let as_now = mine.values[index] == current.values[index];
        let other_comment = mine.comments[index] != current.comments[index];
        if as_now {
            taken[index] = !since && owned[index] && other_comment;
        } else if since && !i_changed {
            // Theirs stays.
        } else if !owned[index] {
            return Err(format!("forbidden {}", SECTIONS[index]));
        } else if since {
            conflicts.push(SECTIONS[index]);
        } else {
            taken[index] = true;
        }
    }
    if conflicts.is_empty() {
        return Ok(taken);
    }
    Err(format!("conflict {}", conflicts.join(" ")))
}

fn planned(
    log: &[Version],
    base: usize,
    mine: &Version,
    owned: [bool; 4],
) -> Result<[bool; 4], String> {
    let based_on: BasedOn = SECTIONS.map(|section| (section, base as u64)).into();
    let owned: Vec<String> = (0..4)
        .filter(|index| owned[*index])
        .map(|index| SECTIONS[index].to_owned())
        .collect();
    let (mine, current) = (sections(mine), sections(log.last().expect("a version")));
    let head = head(log);
    let input = ChangeInput {
        based_on: &based_on,
        mine: &mine,
        current: &current,
        head: &head,
        owned: &owned,
    };
    let mut bases = sections(&log[base]);
    let needed = input.bases_needed();
    bases.retain(|section, _| needed.contains(&(*section, base as u64)));
    match input.plan(&bases) {
        Ok(taken) => Ok(SECTIONS.map(|section| taken.contains(&section))),
        Err(ChangeRefusal::Forbidden(section)) => Err(format!("forbidden {section}")),
        Err(ChangeRefusal::Conflict(conflicts)) => {
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

/// Operators change sections from old and new versions, in any order. What the plan decides is
/// what the naive rules decide; a change that lands alters its own sections and no other.
#[test]
fn the_plan_agrees_with_the_naive_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config(2_000), rng);
    let wishes = prop::collection::vec(wish(), 1..25);
    runner
        .run(&wishes, |wishes| {
            let mut log = vec![Version::default()];
            for (number, wish) in wishes.into_iter().enumerate() {
                let base = (log.len() - 1) * wish.base_percent / 100;
                let mut mine = log[base].clone();
                for index in 0..4 {
                    mine.values[index] = wish.values[index].unwrap_or(mine.values[index]);
                    if wish.comments[index] {
                        mine.comments[index] = number + 1;
                    }
                }
                let wanted = naive(&log, base, &mine, wish.owned);
                prop_assert_eq!(&planned(&log, base, &mine, wish.owned), &wanted);
                let Ok(taken) = wanted else { continue };
                let mut next = log.last().expect("a version").clone();
                next.changed = taken;
                for index in (0..4).filter(|index| taken[*index]) {
                    next.values[index] = mine.values[index];
                    next.comments[index] = mine.comments[index];
                }
                if taken.contains(&true) {
                    log.push(next);
                }
            }
            Ok(())
        })
        .expect("the plan follows the rules");
}

#[test]
fn differences_are_told_in_an_operators_words() {
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
