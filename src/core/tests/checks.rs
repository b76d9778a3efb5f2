//! What a run has found.

use {
    crate::core::work::{JobId, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Facts and broken promises of one run.
#[derive(Debug, Default)]
pub(super) struct Checks {
    pub(super) trace: Vec<String>,
    pub(super) broken: Vec<String>,
    /// Ends of tasks that the workers have reached.
    pub(super) done: BTreeSet<TaskId>,
    /// Jobs of which a task has begun.
    pub(super) begun: BTreeSet<JobId>,
    pub(super) answers: BTreeMap<&'static str, u32>,
    /// Clients that stopped waiting without any answer.
    pub(super) unheard: u32,
    pub(super) starts: u32,
}

impl Checks {
    pub(super) fn break_promise(&mut self, what: String) {
        self.trace.push(format!("BROKEN {what}"));
        self.broken.push(what);
    }

    /// The last lines that speak of the job, for a person.
    pub(super) fn story(&self, lines: usize) -> String {
        let from = self.trace.len().saturating_sub(lines);
        self.trace[from..].join("\n")
    }
}
