//! Results of a simulation.

use {
    crate::core::work::{JobId, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Trace, violated invariants and counts of one simulation.
#[derive(Debug, Default)]
pub(super) struct SimulationReport {
    pub(super) trace: Vec<String>,
    pub(super) violations: Vec<String>,
    /// Tasks that a worker has finished successfully.
    pub(super) done_tasks: BTreeSet<TaskId>,
    /// Jobs with at least one started task.
    pub(super) started_jobs: BTreeSet<JobId>,
    pub(super) outcome_counts: BTreeMap<&'static str, u32>,
    /// Clients that timed out without any reply.
    pub(super) unanswered_clients: u32,
    pub(super) start_count: u32,
    /// Replies that a job was cancelled.
    pub(super) confirmed_cancellations: u32,
    /// For each task, the worker crashes while it ran, and its starts after the third of them.
    pub(super) crashes: BTreeMap<TaskId, (u32, u32)>,
    /// Jobs failed for crashes whose tasks do crash workers, and other jobs.
    pub(super) failed_by_crashes: (u32, u32),
}

impl SimulationReport {
    pub(super) fn record_violation(&mut self, what: String) {
        self.trace.push(format!("VIOLATION {what}"));
        self.violations.push(what);
    }

    /// Returns the last lines of the trace.
    pub(super) fn trace_tail(&self, lines: usize) -> String {
        let from = self.trace.len().saturating_sub(lines);
        self.trace[from..].join("\n")
    }
}
