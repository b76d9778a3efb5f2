//! Generates arrival times and run times of jobs.

use {
    crate::cli::{LoadArgs, Shape},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Interval between the starts of bursts.
const BURST_PERIOD_US: u64 = 1_000_000;
/// Fraction of the period that a burst lasts.
const BURST_SHARE: f64 = 0.1;
/// Minimum and maximum run time of an ordinary task.
const ORDINARY_RUN_MS: (f64, f64) = (50.0, 1_000.0);
/// Minimum and maximum run time of a long task.
const LONG_RUN_MS: (f64, f64) = (2_000.0, 4_000.0);
/// Fraction of tasks that are long.
const LONG_SHARE: f64 = 0.01;
/// Number of tasks in a wide job.
const WIDE_TASKS: usize = 200;
/// Run time of each task in a wide job.
const WIDE_RUN_MS: u32 = 20;
/// More memory than any worker has.
const IMPOSSIBLE_MEMORY_MB: u32 = 100_000_000;

/// One task of a planned job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedTask {
    /// Actual run time.
    pub(crate) run_ms: u32,
    /// Run time declared by the client.
    pub(crate) declared_ms: u32,
}

/// One job of the schedule.
#[derive(Debug, Clone)]
pub(crate) struct PlannedJob {
    /// Arrival time relative to the start of the schedule.
    pub(crate) at_us: u64,
    /// Tasks of the job.
    pub(crate) tasks: Vec<PlannedTask>,
    /// Deadline relative to the submission.
    pub(crate) deadline_ms: u64,
    /// Whether the client cancels the job, halfway through the load run.
    pub(crate) cancelled: bool,
    /// Memory declared for each task, if any.
    pub(crate) memory_mb: Option<u32>,
}

impl PlannedJob {
    /// Run time of the longest task.
    pub(crate) fn longest_ms(&self) -> u64 {
        let longest = self.tasks.iter().map(|task| task.run_ms).max();
        u64::from(longest.unwrap_or(0))
    }
}

/// Generates Poisson arrivals at the rate for the requested load, optionally with bursts.
pub(crate) fn plan(args: &LoadArgs) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let jobs_per_s = args.load * args.slots as f64 / mean_job_s(args.shape);
    let end_us = args.duration_ms * 1_000;
    let mut jobs = Vec::new();
    let mut at_us = 0;
    loop {
        let uniform: f64 = rng.random();
        let rate = jobs_per_s * rate_factor(args.burst_factor, at_us);
        at_us += (-(1.0 - uniform).ln() / rate * 1_000_000.0) as u64;
        if at_us >= end_us {
            return jobs;
        }
        jobs.push(plan_job(&mut rng, args, at_us));
    }
}

/// Arrival rate at a given time as a multiple of the mean rate.
fn rate_factor(burst_factor: f64, at_us: u64) -> f64 {
    let base = 1.0 / (1.0 + BURST_SHARE * (burst_factor - 1.0));
    let phase = (at_us % BURST_PERIOD_US) as f64 / BURST_PERIOD_US as f64;
    if phase < BURST_SHARE {
        base * burst_factor
    } else {
        base
    }
}

fn plan_job(rng: &mut ChaCha8Rng, args: &LoadArgs, at_us: u64) -> PlannedJob {
    let tasks: Vec<PlannedTask> = match args.shape {
        Shape::Mixed => (0..mixed_task_count(rng))
            .map(|_| plan_task(rng, args.declared_error))
            .collect(),
        Shape::Wide => vec![
            PlannedTask {
                run_ms: WIDE_RUN_MS,
                declared_ms: WIDE_RUN_MS,
            };
            WIDE_TASKS
        ],
    };
    let cancelled = rng.random_bool(args.cancel_share);
    let impossible = rng.random_bool(args.impossible_share);
    let mut job = PlannedJob {
        at_us,
        tasks,
        deadline_ms: 0,
        cancelled,
        memory_mb: impossible.then_some(IMPOSSIBLE_MEMORY_MB),
    };
    job.deadline_ms = job.longest_ms() + args.slack_ms;
    job
}

/// Three quarters of the jobs have one task, the others 2 to 20.
fn mixed_task_count(rng: &mut ChaCha8Rng) -> usize {
    match rng.random_range(0..20) {
        0..15 => 1,
        15..19 => rng.random_range(2..=6),
        _ => rng.random_range(7..=20),
    }
}

fn plan_task(rng: &mut ChaCha8Rng, declared_error: f64) -> PlannedTask {
    let run_ms = if rng.random_bool(LONG_SHARE) {
        rng.random_range(LONG_RUN_MS.0..LONG_RUN_MS.1)
    } else {
        let (shortest, longest) = ORDINARY_RUN_MS;
        shortest * (longest / shortest).powf(rng.random())
    };
    let error = declared_error.powf(rng.random_range(-1.0..=1.0));
    PlannedTask {
        run_ms: run_ms as u32,
        declared_ms: (run_ms * error) as u32,
    }
}

/// Mean total run time of a job's tasks, in seconds.
fn mean_job_s(shape: Shape) -> f64 {
    let (shortest, longest) = ORDINARY_RUN_MS;
    let ordinary_ms = (longest - shortest) / (longest / shortest).ln();
    let long_ms = f64::midpoint(LONG_RUN_MS.0, LONG_RUN_MS.1);
    let task_ms = ordinary_ms * (1.0 - LONG_SHARE) + long_ms * LONG_SHARE;
    // Mean of `mixed_task_count`.
    let mixed_tasks = 0.75 + 0.2 * 4.0 + 0.05 * 13.5;
    match shape {
        Shape::Mixed => mixed_tasks * task_ms / 1_000.0,
        Shape::Wide => WIDE_TASKS as f64 * f64::from(WIDE_RUN_MS) / 1_000.0,
    }
}
