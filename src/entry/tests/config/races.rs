//! Several entries, several operators, a platform that fails: what was accepted stays.

use {
    super::{FakePlatform, change, in_virtual_time, keeper, operator, values},
    crate::{
        core::config::{Head, SECTIONS},
        entry::{AppliedChange, ApplyError, ConfigKeeper, InForce},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Versions in force that the race begins with.
const FIRST: u64 = 1;

/// One thing that happens.
#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    entry: usize,
    kind: Kind,
}

#[derive(Debug, Clone)]
enum Kind {
    /// An operator changes these sections of what the entry shows.
    Change([bool; 4]),
    /// The entry reads the head row.
    Refresh,
    /// The entry is killed, with all that it was doing, and replaced.
    Restart,
}

/// A change that was asked for.
#[derive(Debug)]
struct Asked {
    based_on: u64,
    sections: [bool; 4],
    /// `None` if the entry was killed before it answered.
    answer: Option<Result<AppliedChange, ApplyError>>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let kind = prop_oneof![
        8 => [prop::bool::weighted(0.4); 4].prop_map(Kind::Change),
        4 => Just(Kind::Refresh),
        1 => Just(Kind::Restart),
    ];
    let step = (0_u64..400, 0_usize..3, kind).prop_map(|(after_ms, entry, kind)| Step {
        after_ms,
        entry,
        kind,
    });
    prop::collection::vec(step, 1..40)
}

fn start(platform: &Arc<FakePlatform>) -> Arc<ConfigKeeper> {
    let keeper = keeper(platform);
    platform.watch(&keeper.state);
    keeper
}

/// Runs the steps and returns each change by its number, which is also the value it writes.
async fn run(
    platform: &Arc<FakePlatform>,
    fault_percent: u32,
    steps: Vec<Step>,
) -> BTreeMap<u32, Asked> {
    let ops = operator("ops", &SECTIONS);
    let mut entries = [start(platform), start(platform), start(platform)];
    entries[0]
        .apply(&ops, &change([0; 4], 0))
        .await
        .expect("no faults yet");
    platform.set_fault_percent(fault_percent);
    let mut running = Vec::new();
    let mut asked = BTreeMap::new();
    for (number, step) in (1_u32..).zip(steps) {
        sleep(Duration::from_millis(step.after_ms)).await;
        let entry = Arc::clone(&entries[step.entry]);
        match step.kind {
            Kind::Refresh => {
                tokio::spawn(async move { entry.refresh().await });
            }
            Kind::Restart => {
                for (_, owner, task) in &running {
                    if *owner == step.entry {
                        abort(task);
                    }
                }
                entries[step.entry] = start(platform);
            }
            Kind::Change(sections) => {
                let Some(held) = entry.state.in_force() else {
                    continue;
                };
                let mut wanted = values(&held.document);
                for index in (0..4).filter(|index| sections[*index]) {
                    wanted[index] = number;
                }
                let based_on = held.head.version;
                let request = change(wanted, based_on);
                let operator = ops.clone();
                let task = tokio::spawn(async move { entry.apply(&operator, &request).await });
                running.push((number, step.entry, task));
                let change = Asked {
                    based_on,
                    sections,
                    answer: None,
                };
                asked.insert(number, change);
            }
        }
    }
    for (number, _, task) in running {
        let answer = task.await.ok();
        asked.get_mut(&number).expect("asked").answer = answer;
    }
    asked
}

fn abort<T>(task: &tokio::task::JoinHandle<T>) {
    task.abort();
}

/// Everything that the platform holds once all late writes have landed, by version.
async fn read_back(platform: &Arc<FakePlatform>) -> (Vec<InForce>, Head) {
    sleep(Duration::from_secs(30)).await;
    platform.heal();
    let reader = start(platform);
    reader.refresh().await.expect("no faults any more");
    let heads = reader.history(1_000).await.expect("history");
    let mut versions = Vec::new();
    for head in heads {
        let held = reader.at_version(head.version).await.expect("reads");
        versions.push(held.expect("a document for each version"));
    }
    (versions, reader.state.in_force().expect("a head").head)
}

/// The history is whole and in order, and each version changes just the sections it says.
fn check_history(versions: &[InForce], head: &Head) {
    assert_eq!(versions.last().map(|held| &held.head), Some(head));
    for (index, held) in versions.iter().enumerate() {
        assert_eq!(held.head.version, index as u64 + 1, "no gap");
    }
    for pair in versions.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        let (old, new) = (values(&before.document), values(&after.document));
        for (index, section) in SECTIONS.into_iter().enumerate() {
            let changed = after.head.section_version(section) == after.head.version;
            assert_eq!(
                changed,
                old[index] != new[index],
                "{section} of {}",
                after.head.version
            );
        }
    }
}

/// Each answer is true.
fn check_answer(versions: &[InForce], number: u32, asked: &Asked) {
    let landed = versions.iter().find(|held| {
        let held_values = values(&held.document);
        (0..4).any(|index| held_values[index] == number)
    });
    let changes_nothing = asked.sections == [false; 4];
    match &asked.answer {
        Some(Ok(accepted)) if changes_nothing => assert!(accepted.sections.is_empty()),
        Some(Ok(accepted)) => {
            let landed = landed.expect("accepted, so it is in the history");
            assert_eq!(landed.head, accepted.head);
            check_landed(versions, landed, number, asked);
        }
        Some(Err(ApplyError::OutcomeUnknown(version, _))) => {
            if let Some(landed) = landed {
                assert_eq!(landed.head.version, *version);
                check_landed(versions, landed, number, asked);
            }
        }
        Some(Err(error)) => assert!(landed.is_none(), "{error}, yet change {number} landed"),
        None => {
            if let Some(landed) = landed {
                check_landed(versions, landed, number, asked);
            }
        }
    }
}

/// A change lands whole, and overwrites nothing that its operator had not seen.
fn check_landed(versions: &[InForce], landed: &InForce, number: u32, asked: &Asked) {
    let held = values(&landed.document);
    for (index, section) in SECTIONS.into_iter().enumerate() {
        assert_eq!(held[index] == number, asked.sections[index], "{section}");
        if !asked.sections[index] {
            continue;
        }
        let overwritten = versions.iter().find(|between| {
            between.head.version > asked.based_on
                && between.head.version < landed.head.version
                && between.head.section_version(section) == between.head.version
        });
        assert!(overwritten.is_none(), "change {number} overwrote {section}");
    }
}

/// A user sees "accepted", and later the old configuration; or "refused", and later the change.
/// Operators race through three entries while the platform refuses, loses calls and replies and
/// lets writes land after their callers gave up; entries are slow, stale, killed and replaced.
/// The cause would be an answer given from anything else than what the platform holds for good.
#[test]
fn accepted_is_never_lost_and_refused_never_lands() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let mut counts = BTreeMap::<&'static str, usize>::new();
    let counted = std::cell::RefCell::new(&mut counts);
    runner
        .run(
            &(any::<u64>(), 0_u32..80, steps()),
            |(seed, fault_percent, steps)| {
                in_virtual_time(async {
                    let platform = FakePlatform::new(seed);
                    let asked = run(&platform, fault_percent, steps).await;
                    let (versions, head) = read_back(&platform).await;
                    check_history(&versions, &head);
                    assert!(head.version >= FIRST);
                    for (number, change) in &asked {
                        check_answer(&versions, *number, change);
                        let kind = match &change.answer {
                            None => "killed",
                            Some(Ok(_)) => "accepted",
                            Some(Err(error)) => error.as_str(),
                        };
                        *counted.borrow_mut().entry(kind).or_default() += 1;
                    }
                });
                Ok(())
            },
        )
        .expect("every answer is true");
    for kind in [
        "accepted",
        "conflict",
        "killed",
        "outcome_unknown",
        "store_unavailable",
    ] {
        assert!(
            counts.contains_key(kind),
            "{kind} never came up: {counts:?}"
        );
    }
}
