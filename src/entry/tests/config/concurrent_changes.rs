//! Property test of concurrent changes at several entries while the platform fails.

use {
    super::{FakePlatform, change, config_store, in_virtual_time, operator, values},
    crate::{
        core::config::{Head, SECTIONS},
        entry::{AppliedChange, ApplyError, ConfigStore, InForce},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Version in force before the random steps.
const FIRST_VERSION: u64 = 1;

/// One random step.
#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    entry: usize,
    kind: StepKind,
}

#[derive(Debug, Clone)]
enum StepKind {
    /// An operator changes these sections of the entry's configuration in force.
    Change([bool; 4]),
    /// The entry reads the head row.
    Refresh,
    /// The entry is killed with its changes in flight, and replaced.
    Restart,
}

/// A requested change.
#[derive(Debug)]
struct ChangeRecord {
    based_on: u64,
    sections: [bool; 4],
    /// `None` if the entry was killed before it replied.
    result: Option<Result<AppliedChange, ApplyError>>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let kind = prop_oneof![
        8 => [prop::bool::weighted(0.4); 4].prop_map(StepKind::Change),
        4 => Just(StepKind::Refresh),
        1 => Just(StepKind::Restart),
    ];
    let step = (0_u64..400, 0_usize..3, kind).prop_map(|(after_ms, entry, kind)| Step {
        after_ms,
        entry,
        kind,
    });
    prop::collection::vec(step, 1..40)
}

fn start(platform: &Arc<FakePlatform>) -> Arc<ConfigStore> {
    let store = config_store(platform);
    platform.watch_version(&store.state);
    store
}

/// Runs the steps and returns the changes by number; a change writes its number as the value.
async fn run_steps(
    platform: &Arc<FakePlatform>,
    fault_percent: u32,
    steps: Vec<Step>,
) -> BTreeMap<u32, ChangeRecord> {
    let ops = operator("ops", &SECTIONS);
    let mut entries = [start(platform), start(platform), start(platform)];
    entries[0]
        .apply(&ops, &change([0; 4], 0))
        .await
        .expect("no faults yet");
    platform.set_fault_percent(fault_percent);
    let mut running = Vec::new();
    let mut changes = BTreeMap::new();
    for (number, step) in (1_u32..).zip(steps) {
        sleep(Duration::from_millis(step.after_ms)).await;
        let entry = Arc::clone(&entries[step.entry]);
        match step.kind {
            StepKind::Refresh => {
                tokio::spawn(async move { entry.refresh().await });
            }
            StepKind::Restart => {
                for (_, owner, task) in &running {
                    if *owner == step.entry {
                        abort(task);
                    }
                }
                entries[step.entry] = start(platform);
            }
            StepKind::Change(sections) => {
                let Some(in_force) = entry.state.in_force() else {
                    continue;
                };
                let mut wanted = values(&in_force.document);
                for index in (0..4).filter(|index| sections[*index]) {
                    wanted[index] = number;
                }
                let based_on = in_force.head.version;
                let request = change(wanted, based_on);
                let operator = ops.clone();
                let task = tokio::spawn(async move { entry.apply(&operator, &request).await });
                running.push((number, step.entry, task));
                let change = ChangeRecord {
                    based_on,
                    sections,
                    result: None,
                };
                changes.insert(number, change);
            }
        }
    }
    for (number, _, task) in running {
        let result = task.await.ok();
        changes.get_mut(&number).expect("recorded change").result = result;
    }
    changes
}

fn abort<T>(task: &tokio::task::JoinHandle<T>) {
    task.abort();
}

/// Returns all versions and the head that the platform has stored after all delayed writes.
async fn read_history(platform: &Arc<FakePlatform>) -> (Vec<InForce>, Head) {
    sleep(Duration::from_secs(30)).await;
    platform.clear_faults();
    let reader = start(platform);
    reader.refresh().await.expect("no faults any more");
    let heads = reader.history(1_000).await.expect("history");
    let mut versions = Vec::new();
    for head in heads {
        let version = reader.at_version(head.version).await.expect("reads");
        versions.push(version.expect("a document for each version"));
    }
    (versions, reader.state.in_force().expect("a head").head)
}

/// The history is complete and in order, and each version changes only the sections in its head.
fn check_history(versions: &[InForce], head: &Head) {
    assert_eq!(versions.last().map(|version| &version.head), Some(head));
    for (index, version) in versions.iter().enumerate() {
        assert_eq!(version.head.version, index as u64 + 1, "no gap");
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

/// The reported result matches the history.
fn check_result(versions: &[InForce], number: u32, change: &ChangeRecord) {
    let applied = versions.iter().find(|version| {
        let stored = values(&version.document);
        (0..4).any(|index| stored[index] == number)
    });
    let changes_nothing = change.sections == [false; 4];
    match &change.result {
        Some(Ok(accepted)) if changes_nothing => assert!(accepted.sections.is_empty()),
        Some(Ok(accepted)) => {
            let applied = applied.expect("accepted, so it is in the history");
            assert_eq!(applied.head, accepted.head);
            check_applied(versions, applied, number, change);
        }
        Some(Err(ApplyError::OutcomeUnknown(version, _))) => {
            if let Some(applied) = applied {
                assert_eq!(applied.head.version, *version);
                check_applied(versions, applied, number, change);
            }
        }
        Some(Err(error)) => assert!(
            applied.is_none(),
            "{error}, yet change {number} was applied"
        ),
        None => {
            if let Some(applied) = applied {
                check_applied(versions, applied, number, change);
            }
        }
    }
}

/// A change is applied completely and overwrites nothing newer than its base version.
fn check_applied(versions: &[InForce], applied: &InForce, number: u32, change: &ChangeRecord) {
    let stored = values(&applied.document);
    for (index, section) in SECTIONS.into_iter().enumerate() {
        assert_eq!(stored[index] == number, change.sections[index], "{section}");
        if !change.sections[index] {
            continue;
        }
        let overwritten = versions.iter().find(|between| {
            between.head.version > change.based_on
                && between.head.version < applied.head.version
                && between.head.section_version(section) == between.head.version
        });
        assert!(overwritten.is_none(), "change {number} overwrote {section}");
    }
}

/// An accepted change must not disappear, and a refused one must not appear later, under store
/// faults, delayed writes, and entries that are slow, stale or restarted.
#[test]
fn accepted_changes_persist_and_refused_changes_never_apply() {
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
                    let changes = run_steps(&platform, fault_percent, steps).await;
                    let (versions, head) = read_history(&platform).await;
                    check_history(&versions, &head);
                    assert!(head.version >= FIRST_VERSION);
                    for (number, change) in &changes {
                        check_result(&versions, *number, change);
                        let kind = match &change.result {
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
        .expect("every reported result matches the history");
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
