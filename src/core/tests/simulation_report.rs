//! What a run has found.

use {
    crate::core::work::{JobId, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Facts and broken promises of one run.
#[derive(Debug, Default)]
pub(super) struct SimulationReport {
    pub(super) trace: Vec<String>,
    pub(super) violations: Vec<String>,
    /// Ends of tasks that the workers have reached.
    pub(super) done_tasks: BTreeSet<TaskId>,
    /// Jobs of which a task has begun.
    pub(super) started_jobs: BTreeSet<JobId>,
    pub(super) outcome_counts: BTreeMap<&'static str, u32>,
    /// Clients that stopped waiting without any answer.
    pub(super) unanswered_clients: u32,
    pub(super) start_count: u32,
}

impl SimulationReport {
    pub(super) fn report_violation(&mut self, what: String) {
        self.trace.push(format!("VIOLATION {what}"));
        self.violations.push(what);
    }

    /// The last lines that speak of the job, for a person.
    pub(super) fn trace_tail(&self, lines: usize) -> String {
        let from = self.trace.len().saturating_sub(lines);
        self.trace[from..].join("\n")
    }
}
