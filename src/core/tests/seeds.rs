//! Runs of the harness.

use {
    super::world::{JOBS, Setup, World},
    crate::core::work::RunLimits,
};

/// Seeds that every test run plays.
const FIXED_SEEDS: u64 = 250;
/// Seeds within which a naive entry must be caught.
const NAIVE_SEEDS: u64 = 100;

fn play(seed: u64, setup: Setup) -> World {
    let mut world = World::new(seed, setup);
    world.play();
    world
}

fn assert_sound(seed: u64) -> World {
    let world = play(seed, Setup::sound());
    let checks = &world.checks;
    assert!(
        checks.broken.is_empty(),
        "seed {seed}: {:?}\n{}",
        checks.broken,
        checks.story(4_000)
    );
    world
}

#[test]
fn no_promise_is_broken_on_the_fixed_seeds() {
    let mut answers = std::collections::BTreeMap::new();
    let mut unheard = 0;
    for seed in 0..FIXED_SEEDS {
        let checks = assert_sound(seed).checks;
        unheard += u64::from(checks.unheard);
        for (answer, count) in checks.answers {
            *answers.entry(answer).or_insert(0) += u64::from(count);
        }
    }
    // The runs are worth something: nearly all jobs are served in spite of the faults, and some are not.
    let jobs = FIXED_SEEDS * JOBS;
    assert!(answers["completed"] * 100 > jobs * 90, "{answers:?}");
    assert!(answers.contains_key("not_run"), "{answers:?}");
    // Few clients wait in vain: what can't be served is said.
    assert!(
        unheard * 100 < jobs * 3,
        "{unheard} of {jobs} heard nothing"
    );
}

/// `RATTANSLIP_SEEDS=FIRST..END cargo test --release more_seeds -- --ignored` plays others.
#[test]
#[ignore = "plays thousands of seeds by hand"]
fn more_seeds_on_demand() {
    let range = std::env::var("RATTANSLIP_SEEDS").unwrap_or_else(|_| "1000..4000".to_owned());
    let (first, end) = range.split_once("..").expect("FIRST..END");
    let (first, end): (u64, u64) = (first.parse().expect("first"), end.parse().expect("end"));
    let mut failed = Vec::new();
    for seed in first..end {
        let world = play(seed, Setup::sound());
        if !world.checks.broken.is_empty() {
            println!("seed {seed}: {:?}", world.checks.broken);
            if std::env::var_os("RATTANSLIP_STORY").is_some() {
                println!("{}", world.checks.story(usize::MAX));
            }
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// An entry that starts a task elsewhere as soon as its agent is silent, as a first version would:
/// the agent runs it on, and two runs of the task are at work. The harness must see that.
#[test]
fn an_entry_that_does_not_wait_is_caught() {
    let naive = Setup {
        entry_limits: RunLimits {
            liveness_timeout_ms: 60,
            lease_ms: 0,
            stop_ms: 0,
            ..Setup::sound().entry_limits
        },
        ..Setup::sound()
    };
    assert!(is_caught(naive));
}

/// An agent that runs tasks on for as long as their job has time, whatever it hears from the entry: a
/// client of an entry that was cut off sends its job to another, and two runs are at work.
#[test]
fn an_agent_without_a_bound_on_silence_is_caught() {
    let sound = Setup::sound();
    let naive = Setup {
        agent_limits: RunLimits {
            liveness_timeout_ms: 30_000,
            ..sound.agent_limits
        },
        ..sound
    };
    assert!(is_caught(naive));
}

fn is_caught(naive: Setup) -> bool {
    (0..NAIVE_SEEDS).any(|seed| {
        let broken = play(seed, naive).checks.broken;
        broken.iter().any(|what| what.contains("twice"))
    })
}
