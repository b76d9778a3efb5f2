//! Statistics computed from the responses and the starts recorded by backend servers.

use {
    super::{
        ideal_schedule::ideal_responses_us,
        load_client::JobResult,
        probe::{StartRecord, ZonedStart},
        schedule::PlannedJob,
    },
    crate::cli::{LoadArgs, RunError},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

/// Fixed-point factor for slowdowns in the integer histogram.
pub(crate) const SLOWDOWN_UNIT: f64 = 1_000.0;

/// Upper bound of the histograms.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Unix timestamps of the load run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadTimes {
    /// Start of the schedule.
    pub(crate) started_us: u64,
    /// When the operator call that evacuates the zone was sent.
    pub(crate) evacuated_us: Option<u64>,
    /// When the operator call that restores the zone was sent.
    pub(crate) restored_us: Option<u64>,
}

/// Counts and distributions of one load run.
#[derive(Debug)]
pub(crate) struct LoadStats {
    pub(crate) jobs: u64,
    pub(crate) done: u64,
    pub(crate) done_in_time: u64,
    pub(crate) tasks_done: u64,
    pub(crate) starts: u64,
    pub(crate) useless_starts: u64,
    pub(crate) double_starts: u64,
    pub(crate) lost: u64,
    pub(crate) partial: u64,
    pub(crate) false_not_run: u64,
    pub(crate) verdicts: BTreeMap<String, u64>,
    pub(crate) slowdown: Histogram<u64>,
    pub(crate) response_us: Histogram<u64>,
    pub(crate) refusal_us: Histogram<u64>,
    pub(crate) overhead_us: Histogram<u64>,
    pub(crate) goodput_ratio: f64,
    pub(crate) zone_work_ratio: Option<f64>,
    pub(crate) zone_out_last_start_ms: Option<f64>,
}

/// Client's view of a submitted task.
#[derive(Debug, Clone, Copy)]
struct SubmittedTask {
    /// Whether its job was done before the deadline.
    done_in_time: bool,
    /// Whether the response said that the task did not run.
    reported_not_run: bool,
    run_ms: u32,
}

impl LoadStats {
    /// Computes the statistics of a load run.
    pub(crate) fn new(
        args: &LoadArgs,
        times: LoadTimes,
        plan: &[PlannedJob],
        results: &[JobResult],
        starts: &[ZonedStart],
    ) -> Result<Self, RunError> {
        let mut stats = Self::empty().map_err(|error| RunError::Failed(error.to_string()))?;
        let ideals_us = ideal_responses_us(plan, args.slots);
        let mut submitted = BTreeMap::new();
        for result in results {
            let job = &plan[result.number];
            stats.record_job(job, result, ideals_us[result.number]);
            record_submitted(&mut submitted, job, result);
        }
        stats.count_starts(args, &submitted, starts);
        stats.record_overheads(plan, results, &ideals_us, starts);
        stats.compute_work_ratios(args, times, &submitted, starts);
        Ok(stats)
    }

    fn empty() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            jobs: 0,
            done: 0,
            done_in_time: 0,
            tasks_done: 0,
            starts: 0,
            useless_starts: 0,
            double_starts: 0,
            lost: 0,
            partial: 0,
            false_not_run: 0,
            verdicts: BTreeMap::new(),
            slowdown: new_histogram()?,
            response_us: new_histogram()?,
            refusal_us: new_histogram()?,
            overhead_us: new_histogram()?,
            goodput_ratio: 0.0,
            zone_work_ratio: None,
            zone_out_last_start_ms: None,
        })
    }

    fn record_job(&mut self, job: &PlannedJob, result: &JobResult, ideal_us: u64) {
        self.jobs += 1;
        let Some(last) = result.attempts.last() else {
            return;
        };
        *self.verdicts.entry(last.verdict.clone()).or_default() += 1;
        self.lost += u64::from(last.lost);
        self.partial += u64::from(last.partial);
        if last.not_run {
            self.refusal_us.saturating_record(result.response_us);
        }
        if !last.is_done() {
            return;
        }
        self.done += 1;
        self.done_in_time += u64::from(is_in_time(job, result));
        self.tasks_done += job.tasks.len() as u64;
        self.response_us.saturating_record(result.response_us);
        let slowdown = result.response_us as f64 / ideal_us.max(1) as f64;
        self.slowdown
            .saturating_record((slowdown * SLOWDOWN_UNIT) as u64);
    }

    fn count_starts(
        &mut self,
        args: &LoadArgs,
        submitted: &BTreeMap<String, SubmittedTask>,
        starts: &[ZonedStart],
    ) {
        let mut seen: BTreeMap<&str, u64> = BTreeMap::new();
        for start in starts {
            if submitted.contains_key(&start.record.task) {
                *seen.entry(&start.record.task).or_default() += 1;
            }
        }
        for (name, count) in seen {
            let Some(task) = submitted.get(name) else {
                continue;
            };
            self.starts += count;
            self.useless_starts += if task.done_in_time { count - 1 } else { count };
            self.false_not_run += u64::from(task.reported_not_run);
            if !args.repeatable {
                self.double_starts += count - 1;
            }
        }
    }

    /// Records the overhead of single-task jobs that don't wait in the ideal schedule: response
    /// time minus the run time on the backend server.
    fn record_overheads(
        &mut self,
        plan: &[PlannedJob],
        results: &[JobResult],
        ideals_us: &[u64],
        starts: &[ZonedStart],
    ) {
        let ran_us: BTreeMap<&str, u64> = starts
            .iter()
            .map(|start| (start.record.task.as_str(), start.record.ran_us))
            .collect();
        for result in results {
            let job = &plan[result.number];
            let [task] = job.tasks.as_slice() else {
                continue;
            };
            let no_wait = ideals_us[result.number] == u64::from(task.run_ms) * 1_000;
            let Some(last) = result.attempts.last().filter(|last| last.is_done()) else {
                continue;
            };
            let ran = last
                .task_name(0)
                .and_then(|name| ran_us.get(name.as_str()).copied())
                .filter(|ran_us| *ran_us > 0);
            if let Some(ran_us) = ran
                && no_wait
            {
                self.overhead_us
                    .saturating_record(result.response_us.saturating_sub(ran_us));
            }
        }
    }

    fn compute_work_ratios(
        &mut self,
        args: &LoadArgs,
        times: LoadTimes,
        submitted: &BTreeMap<String, SubmittedTask>,
        starts: &[ZonedStart],
    ) {
        let in_time: Vec<&ZonedStart> = starts
            .iter()
            .filter(|start| {
                submitted
                    .get(&start.record.task)
                    .is_some_and(|task| task.done_in_time)
            })
            .collect();
        let ran_us = |record: &StartRecord| match (record.ran_us, submitted.get(&record.task)) {
            (0, Some(task)) => u64::from(task.run_ms) * 1_000,
            (ran_us, _) => ran_us,
        };
        let work_us = |from_us: u64, to_us: u64, excluded_zone: Option<&str>| -> u64 {
            in_time
                .iter()
                .filter(|start| excluded_zone != Some(start.availability_zone.as_str()))
                .map(|start| overlap_us(&start.record, ran_us(&start.record), from_us, to_us))
                .sum()
        };
        let from_us = times.started_us + args.warmup_ms * 1_000;
        let to_us = times.started_us + args.duration_ms * 1_000;
        let slots = args.slots as f64;
        self.goodput_ratio =
            work_us(from_us, to_us, None) as f64 / (slots * (to_us - from_us) as f64);
        let (Some(evacuated_us), Some(restored_us), Some(zone)) =
            (times.evacuated_us, times.restored_us, &args.zone_out)
        else {
            return;
        };
        let zone_backends = args
            .backends
            .iter()
            .filter(|backend| backend.availability_zone == *zone)
            .count();
        let remaining = slots * (1.0 - zone_backends as f64 / args.backends.len().max(1) as f64);
        let evacuated_work_us = work_us(evacuated_us, restored_us, Some(zone));
        let restored_work_us = work_us(restored_us, to_us, None);
        let capacity_us = remaining * (restored_us - evacuated_us) as f64
            + slots * to_us.saturating_sub(restored_us) as f64;
        self.zone_work_ratio = Some((evacuated_work_us + restored_work_us) as f64 / capacity_us);
        self.zone_out_last_start_ms = starts
            .iter()
            .filter(|start| start.availability_zone == *zone)
            .map(|start| start.record.at_unix_us)
            .filter(|at_us| (evacuated_us..restored_us).contains(at_us))
            .max()
            .map(|at_us| (at_us - evacuated_us) as f64 / 1_000.0);
    }
}

/// Sets explicit bounds: `saturating_record` clamps values to the current size of an auto-resizing
/// histogram.
fn new_histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
}

fn is_in_time(job: &PlannedJob, result: &JobResult) -> bool {
    result.response_us <= job.deadline_ms * 1_000
}

fn record_submitted(
    submitted: &mut BTreeMap<String, SubmittedTask>,
    job: &PlannedJob,
    result: &JobResult,
) {
    for attempt in &result.attempts {
        let done_in_time = attempt.is_done() && is_in_time(job, result);
        for (task, index) in job.tasks.iter().zip(0u16..) {
            let reported_not_run = attempt.not_run || attempt.not_run_tasks.contains(&index);
            if let Some(name) = attempt.task_name(index) {
                let task = SubmittedTask {
                    done_in_time,
                    reported_not_run,
                    run_ms: task.run_ms,
                };
                submitted.insert(name, task);
            }
        }
    }
}

/// Part of a run that lies within a time window.
fn overlap_us(record: &StartRecord, ran_us: u64, from_us: u64, to_us: u64) -> u64 {
    let begin = record.at_unix_us.max(from_us);
    let end = (record.at_unix_us + ran_us).min(to_us);
    end.saturating_sub(begin)
}
