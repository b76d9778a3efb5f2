//! Placement by expected completion where the workers of a service differ in speed.

use {
    super::{
        Dispatcher,
        job::Job,
        placement::data_rack_factor,
        weighted_choice::WeightedChoice,
        worker_link::{WorkerKey, WorkerLink},
    },
    crate::core::{
        time::Instant,
        work::{Resources, StepSpec},
        worker_speed::{Candidate, CompletionWeight, NORMAL_PERMILLE, TaskTerms},
    },
    std::mem,
};

/// Time for the messages of a run and of the outcome, in milliseconds: one-way latencies are 3 ms to
/// the client and up to 3 ms to the worker.
const MESSAGES_MS: u64 = 10;
/// Slowness from which a worker gets tasks to measure it.
const PROBE_SLOWNESS: f64 = 1.25;
/// Interval between tasks that a worker gets from all entries although they will be late there, in
/// milliseconds. An agent needs eight runs in 8 s for its measurement; without any, it reports the
/// normal speed, and all entries would send tasks at once.
const PROBE_INTERVAL_MS: f64 = 700.0;
/// The same for a job that has such a task already, in milliseconds: it is late anyway, so its other
/// tasks make no further job late.
const LATE_JOB_PROBE_INTERVAL_MS: f64 = 500.0;
/// Weight factor of a worker that is to get such a task, if the job is late anyway.
const LATE_JOB_FACTOR: f64 = 1e3;

/// Start orders by whether the task was expected to meet its objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StartCounts {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
}

impl StartCounts {
    pub(super) const fn record(&mut self, is_in_time: bool) {
        if is_in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }
}

impl Dispatcher {
    /// Returns and resets the counts of start orders.
    pub(crate) fn take_start_counts(&mut self) -> StartCounts {
        mem::take(&mut self.start_counts)
    }

    /// Terms for the choice of a worker; `None` if the workers of the service have equal speeds.
    pub(super) fn completion_terms(
        &self,
        now: Instant,
        job: &Job,
        task: usize,
    ) -> Option<TaskTerms> {
        if !self.speeds.is_uneven(&job.route.service) {
            return None;
        }
        let penalty = f64::from(self.settings.remote_penalty_permille);
        Some(TaskTerms {
            estimate_ms: job.step(task)?.estimate_ms,
            time_left_ms: job.time_left_ms(now, task).saturating_sub(MESSAGES_MS),
            remote_penalty: penalty / f64::from(NORMAL_PERMILLE),
        })
    }

    /// Whether the task would meet its objective on a worker without free capacity, at the rate at
    /// which this entry gets capacity on those.
    pub(super) fn is_waiting_better(
        &self,
        now: Instant,
        job: &Job,
        step: &StepSpec,
        terms: &TaskTerms,
    ) -> bool {
        let mut concurrent_tasks = 0.0;
        let mut shortest_ms = f64::INFINITY;
        for worker in self.workers.values() {
            let expected_ms = terms.expected_ms(worker.slowness, worker.is_remote_to_data(step));
            if !terms.is_in_time(0.0, expected_ms) {
                continue;
            }
            let tasks = self.concurrent_tasks_at(now, worker, job, step);
            if tasks > 0.0 {
                concurrent_tasks += tasks / worker.slowness;
                shortest_ms = shortest_ms.min(expected_ms);
            }
        }
        if concurrent_tasks <= 0.0 {
            return false;
        }
        let ahead = self.held_tasks + 1;
        let wait_ms = ahead as f64 * terms.estimate_ms as f64 / concurrent_tasks;
        terms.is_in_time(wait_ms, shortest_ms)
    }

    /// Chooses one of the workers by weight.
    pub(super) fn choose(&mut self, workers: &[(WorkerKey, f64)]) -> Option<WorkerKey> {
        let mut choice = WeightedChoice::new(&mut self.rng);
        for (key, weight) in workers {
            choice.add(*key, *weight);
        }
        choice.chosen()
    }
}

/// Weight of a worker with free capacity; `None` if the task is expected to miss its objective there.
pub(super) fn completion_weight(
    now: Instant,
    terms: &TaskTerms,
    worker: &WorkerLink,
    free: Resources,
    (job, step): (&Job, &StepSpec),
) -> Option<f64> {
    let candidate = Candidate {
        slowness: worker.slowness,
        is_remote: worker.is_remote_to_data(step),
        free_share: worker.free_share(free),
    };
    let weight = match terms.weight(&candidate) {
        CompletionWeight::InTime(weight) => weight,
        CompletionWeight::NotInTime if is_probe_due(now, terms, worker, &candidate, job) => {
            let factor = if job.is_expected_late {
                LATE_JOB_FACTOR
            } else {
                1.0
            };
            candidate.free_share.powi(2) * factor
        }
        CompletionWeight::NotInTime => return None,
    };
    Some(weight * data_rack_factor(worker, step))
}

/// Whether a slow worker gets a task that will be late there, so that its speed remains known.
fn is_probe_due(
    now: Instant,
    terms: &TaskTerms,
    worker: &WorkerLink,
    candidate: &Candidate,
    job: &Job,
) -> bool {
    let is_slow = candidate.slowness > PROBE_SLOWNESS;
    let interval_ms = if job.is_expected_late {
        LATE_JOB_PROBE_INTERVAL_MS
    } else {
        PROBE_INTERVAL_MS
    };
    let interval_ms = interval_ms / worker.share().max(0.01);
    let is_due = now.millis_since(worker.last_start_at) as f64 >= interval_ms;
    let normal_ms = terms.expected_ms(1.0, candidate.is_remote);
    is_slow && is_due && terms.is_in_time(0.0, normal_ms)
}
