//! A worker as the platform describes it.

use {
    crate::core::{
        execution::{
            HoldCall, HoldResponse, ListedEnd, ListedRun, StartCall, StartResponse, StopCall,
        },
        link::RunOutcome,
        time::Instant,
        work::{TaskId, WorkerIncarnation},
    },
    std::collections::BTreeMap,
};

/// Longest lease that a worker grants, in milliseconds.
const LONGEST_LEASE_MS: u64 = 1_000;
/// A run at the worker.
#[derive(Debug, Clone, Copy)]
struct RunAtWork {
    number: u32,
    done_at: Instant,
    how: RunOutcome,
}

/// One worker; a crash begins another life.
#[derive(Debug)]
pub(crate) struct WorkerModel {
    /// The life that this is.
    pub(crate) life: WorkerIncarnation,
    /// It says that it is about to end.
    pub(crate) draining: bool,
    /// Reports made.
    pub(crate) reports: u64,
    /// Tasks stand still: nothing ends by itself.
    pub(crate) hangs: bool,
    /// Tasks that it runs at a time.
    room: usize,
    born_at: Instant,
    /// Its clock runs so many thousandths slow.
    slow_permille: u64,
    runs: BTreeMap<TaskId, RunAtWork>,
    used: BTreeMap<TaskId, u32>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    token: u64,
    lease_until_ms: u64,
}

impl WorkerModel {
    /// A worker on which nothing has run.
    pub(crate) fn new(
        now: Instant,
        id: String,
        born_unix_ms: u64,
        slow_permille: u64,
        room: usize,
    ) -> Self {
        Self {
            room,
            life: WorkerIncarnation { id, born_unix_ms },
            draining: false,
            reports: 0,
            hangs: false,
            born_at: now,
            slow_permille,
            runs: BTreeMap::new(),
            used: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            token: 0,
            lease_until_ms: 0,
        }
    }

    /// Its clock, in milliseconds.
    pub(crate) fn clock_ms(&self, now: Instant) -> u64 {
        now.millis_since(self.born_at) * (1_000 - self.slow_permille) / 1_000
    }

    /// What is at work, with the numbers of the runs.
    pub(crate) fn at_work(&self) -> BTreeMap<TaskId, u32> {
        self.runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect()
    }

    /// Ends what is due by now, and everything when the lease is over; the tasks that are done.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<TaskId> {
        let lapsed = self.clock_ms(now) >= self.lease_until_ms;
        let due: Vec<(TaskId, u32, RunOutcome)> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || (now >= run.done_at && !self.hangs))
            .map(|(task, run)| {
                (
                    *task,
                    run.number,
                    if lapsed { RunOutcome::Lost } else { run.how },
                )
            })
            .collect();
        let mut done = Vec::new();
        for (task, number, end) in due {
            self.end(task, number, end);
            if end == RunOutcome::Done {
                done.push(task);
            }
        }
        done
    }

    fn end(&mut self, task: TaskId, number: u32, end: RunOutcome) {
        self.runs.remove(&task);
        let used = self.used.entry(task).or_default();
        *used = (*used).max(number);
        self.last_end += 1;
        self.ended.push(ListedEnd {
            sequence: self.last_end,
            task,
            number,
            end,
        });
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        if token < self.token {
            return true;
        }
        self.token = token;
        false
    }

    fn extend(&mut self, now: Instant, until_ms: u64) {
        let longest = self.clock_ms(now) + LONGEST_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest));
    }

    /// Carries a start out; `begun` tells whether the task is at work on its account.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        call: &StartCall,
        run_ms: u64,
        how: RunOutcome,
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
        self.extend(now, call.lease_until_ms);
        let used = self
            .used
            .get(&call.task)
            .is_some_and(|used| *used >= call.number);
        if used || self.runs.contains_key(&call.task) {
            return (StartResponse::NumberUsed, false);
        }
        if self.runs.len() >= self.room {
            return (StartResponse::NoRoom, false);
        }
        let run = RunAtWork {
            number: call.number,
            done_at: now.plus_ms(run_ms),
            how,
        };
        self.runs.insert(call.task, run);
        (StartResponse::Accepted, true)
    }

    /// Carries a stop out; whether it was taken.
    pub(crate) fn stop(&mut self, call: &StopCall) -> bool {
        if self.is_fenced(call.token) {
            return false;
        }
        let runs = self
            .runs
            .get(&call.task)
            .is_some_and(|run| run.number == call.number);
        if runs {
            self.end(call.task, call.number, RunOutcome::Stopped);
        }
        let used = self.used.entry(call.task).or_default();
        *used = (*used).max(call.number);
        true
    }

    /// Carries a hold out.
    pub(crate) fn hold(&mut self, now: Instant, call: &HoldCall) -> HoldResponse {
        if self.is_fenced(call.token) {
            return HoldResponse::Fenced;
        }
        if let Some(until_ms) = call.lease_until_ms {
            self.extend(now, until_ms);
        }
        self.ended.retain(|end| end.sequence > call.last_seen_end);
        HoldResponse::RunList {
            born_unix_ms: Some(self.life.born_unix_ms),
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
