//! In-memory model of a worker that follows the platform's API.

use {
    crate::core::{
        execution::{
            HoldCall, HoldResponse, ListedEnd, ListedRun, StartCall, StartResponse, StopCall,
        },
        link::RunOutcome,
        time::Instant,
        work::{TaskName, WorkerIncarnation},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum lease duration; longer requests are shortened to it.
const MAX_LEASE_MS: u64 = 1_000;

#[derive(Debug, Clone)]
struct ActiveRun {
    number: u32,
    spec: Arc<str>,
    finishes_at: Instant,
    outcome: RunOutcome,
}

/// One incarnation of a worker; a restart needs a new model.
#[derive(Debug)]
pub(crate) struct WorkerModel {
    /// Identity and start time.
    pub(crate) incarnation: WorkerIncarnation,
    /// Whether heartbeats announce the worker as draining.
    pub(crate) draining: bool,
    /// Number of heartbeats sent.
    pub(crate) reports: u64,
    /// Whether tasks hang: runs end only by a stop or when the lease expires.
    pub(crate) hangs: bool,
    /// Maximum number of concurrent runs.
    slots: usize,
    started_at: Instant,
    /// How much slower the worker's clock runs than real time.
    slow_permille: u64,
    runs: BTreeMap<TaskName, ActiveRun>,
    /// Highest run number used for each task.
    used_numbers: BTreeMap<TaskName, u32>,
    ended: Vec<ListedEnd>,
    last_end_sequence: u64,
    token: u64,
    lease_until_ms: u64,
}

impl WorkerModel {
    /// Creates a worker without runs or a lease.
    pub(crate) fn new(
        now: Instant,
        id: String,
        born_unix_ms: u64,
        slow_permille: u64,
        slots: usize,
    ) -> Self {
        Self {
            slots,
            incarnation: WorkerIncarnation { id, born_unix_ms },
            draining: false,
            reports: 0,
            hangs: false,
            started_at: now,
            slow_permille,
            runs: BTreeMap::new(),
            used_numbers: BTreeMap::new(),
            ended: Vec::new(),
            last_end_sequence: 0,
            token: 0,
            lease_until_ms: 0,
        }
    }

    /// The worker's own clock, which starts at zero.
    pub(crate) fn clock_ms(&self, now: Instant) -> u64 {
        now.millis_since(self.started_at) * (1_000 - self.slow_permille) / 1_000
    }

    /// Run number of each active task.
    pub(crate) fn active_runs(&self) -> BTreeMap<TaskName, u32> {
        self.runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect()
    }

    /// Specification of the job of each active task.
    #[cfg(test)]
    pub(crate) fn active_specs(&self) -> BTreeMap<TaskName, Arc<str>> {
        let runs = self.runs.iter();
        runs.map(|(task, run)| (*task, Arc::clone(&run.spec)))
            .collect()
    }

    /// Finishes due runs, or all runs as lost if the lease has expired; returns the tasks done, with the
    /// specification of their job.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<(TaskName, Arc<str>)> {
        let lease_expired = self.clock_ms(now) >= self.lease_until_ms;
        let due: Vec<(TaskName, ActiveRun)> = self
            .runs
            .iter()
            .filter(|(_, run)| lease_expired || (now >= run.finishes_at && !self.hangs))
            .map(|(task, run)| {
                let outcome = if lease_expired {
                    RunOutcome::Lost
                } else {
                    run.outcome
                };
                let run = run.clone();
                (*task, ActiveRun { outcome, ..run })
            })
            .collect();
        let mut done = Vec::new();
        for (task, run) in due {
            self.finish_run(task, run.number, run.outcome);
            if run.outcome == RunOutcome::Done {
                done.push((task, run.spec));
            }
        }
        done
    }

    fn finish_run(&mut self, task: TaskName, number: u32, end: RunOutcome) {
        self.runs.remove(&task);
        let used = self.used_numbers.entry(task).or_default();
        *used = (*used).max(number);
        self.last_end_sequence += 1;
        self.ended.push(ListedEnd {
            sequence: self.last_end_sequence,
            task,
            number,
            end,
        });
    }

    /// Whether a higher fencing token was seen before; records the token if not.
    fn is_fenced(&mut self, token: u64) -> bool {
        if token < self.token {
            return true;
        }
        self.token = token;
        false
    }

    fn extend_lease(&mut self, now: Instant, until_ms: u64) {
        let latest_ms = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(latest_ms));
    }

    /// Handles a start call; the flag says whether it started a new run.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        call: &StartCall,
        run_ms: u64,
        outcome: RunOutcome,
    ) -> (StartResponse, bool) {
        if self.is_fenced(call.token) {
            return (StartResponse::Fenced, false);
        }
        if self
            .runs
            .get(&call.task)
            .is_some_and(|run| run.number == call.number)
        {
            return (StartResponse::Accepted, false);
        }
        if call.lease_until_ms <= self.clock_ms(now) {
            return (StartResponse::Late, false);
        }
        self.extend_lease(now, call.lease_until_ms);
        let used = self
            .used_numbers
            .get(&call.task)
            .is_some_and(|used| *used >= call.number);
        if used || self.runs.contains_key(&call.task) {
            return (StartResponse::NumberUsed, false);
        }
        if self.runs.len() >= self.slots {
            return (StartResponse::NoRoom, false);
        }
        let run = ActiveRun {
            number: call.number,
            spec: Arc::clone(&call.spec),
            finishes_at: now.plus_ms(run_ms),
            outcome,
        };
        self.runs.insert(call.task, run);
        (StartResponse::Accepted, true)
    }

    /// Handles a stop call; returns false if the call was fenced.
    pub(crate) fn stop(&mut self, call: &StopCall) -> bool {
        if self.is_fenced(call.token) {
            return false;
        }
        let is_running = self
            .runs
            .get(&call.task)
            .is_some_and(|run| run.number == call.number);
        if is_running {
            self.finish_run(call.task, call.number, RunOutcome::Stopped);
        }
        let used = self.used_numbers.entry(call.task).or_default();
        *used = (*used).max(call.number);
        true
    }

    /// Handles a hold call: extends the lease and lists active and ended runs.
    pub(crate) fn hold(&mut self, now: Instant, call: &HoldCall) -> HoldResponse {
        if self.is_fenced(call.token) {
            return HoldResponse::Fenced;
        }
        if let Some(until_ms) = call.lease_until_ms {
            self.extend_lease(now, until_ms);
        }
        self.ended.retain(|end| end.sequence > call.last_seen_end);
        HoldResponse::RunList {
            born_unix_ms: Some(self.incarnation.born_unix_ms),
            clock_ms: self.clock_ms(now),
            running: self
                .runs
                .iter()
                .map(|(task, run)| ListedRun {
                    task: *task,
                    number: run.number,
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }
}
