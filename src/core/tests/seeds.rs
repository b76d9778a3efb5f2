//! Runs of the harness.

use {
    super::simulation::{JOBS, Setup, Simulation},
    crate::core::work::RunLimits,
};

/// Seeds that every test run plays.
const FIXED_SEEDS: u64 = 250;
/// Seeds within which a naive entry must be caught.
const DETECTION_SEEDS: u64 = 100;

fn simulate(seed: u64, setup: Setup) -> Simulation {
    let mut simulation = Simulation::new(seed, setup);
    simulation.run();
    simulation
}

fn assert_no_violations(seed: u64) -> Simulation {
    let simulation = simulate(seed, Setup::production());
    let report = &simulation.report;
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:?}\n{}",
        report.violations,
        report.trace_tail(4_000)
    );
    simulation
}

#[test]
fn fixed_seeds_violate_no_invariant() {
    let mut outcome_counts = std::collections::BTreeMap::new();
    let mut unanswered = 0;
    for seed in 0..FIXED_SEEDS {
        let report = assert_no_violations(seed).report;
        unanswered += u64::from(report.unanswered_clients);
        for (outcome, count) in report.outcome_counts {
            *outcome_counts.entry(outcome).or_insert(0) += u64::from(count);
        }
    }
    // The runs are worth something: nearly all jobs are served in spite of the faults, and some are not.
    let jobs = FIXED_SEEDS * JOBS;
    assert!(
        outcome_counts["completed"] * 100 > jobs * 90,
        "{outcome_counts:?}"
    );
    assert!(outcome_counts.contains_key("not_run"), "{outcome_counts:?}");
    // Few clients wait in vain: what can't be served is said.
    assert!(
        unanswered * 100 < jobs * 3,
        "{unanswered} of {jobs} heard nothing"
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
        let simulation = simulate(seed, Setup::production());
        if !simulation.report.violations.is_empty() {
            println!("seed {seed}: {:?}", simulation.report.violations);
            if std::env::var_os("RATTANSLIP_STORY").is_some() {
                println!("{}", simulation.report.trace_tail(usize::MAX));
            }
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// An entry that starts a task elsewhere as soon as its agent is silent, as a first version would:
/// the agent runs it on, and two runs of the task are at work. The harness must see that.
#[test]
fn double_run_is_detected_if_entry_does_not_wait_for_the_lease() {
    let unsafe_setup = Setup {
        entry_limits: RunLimits {
            silence_ms: 60,
            lease_ms: 0,
            stop_ms: 0,
            ..Setup::production().entry_limits
        },
        ..Setup::production()
    };
    assert!(detects_double_run(unsafe_setup));
}

/// An agent that runs tasks on for as long as their job has time, whatever it hears from the entry: a
/// client of an entry that was cut off sends its job to another, and two runs are at work.
#[test]
fn double_run_is_detected_if_agent_ignores_lost_contact() {
    let production = Setup::production();
    let unsafe_setup = Setup {
        agent_limits: RunLimits {
            silence_ms: 30_000,
            ..production.agent_limits
        },
        ..production
    };
    assert!(detects_double_run(unsafe_setup));
}

fn detects_double_run(unsafe_setup: Setup) -> bool {
    (0..DETECTION_SEEDS).any(|seed| {
        let violations = simulate(seed, unsafe_setup).report.violations;
        violations.iter().any(|what| what.contains("twice"))
    })
}
