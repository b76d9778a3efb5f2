//! Log events of the executor.

use serde::Serialize;

/// A JSON log event of the executor.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ExecutionLogEvent {
    /// A session with an entry was opened.
    EntryConnected { entry: String },
    /// A session with an entry was closed; its runs are stopped.
    EntryLost {
        entry: String,
        cause: &'static str,
        /// Time since the last frame from the entry.
        heard_ms_ago: u64,
        /// Number of runs that are stopped.
        runs: usize,
    },
    /// A session that is no longer needed accepts no more starts.
    SessionRetired {
        entry: String,
        /// Unfinished runs of the session.
        runs: usize,
    },
    /// A worker or a new incarnation of it reported to this agent.
    WorkerSeen {
        worker: String,
        /// Start time of the incarnation.
        born_unix_ms: u64,
        /// Unfinished runs of earlier incarnations.
        runs: usize,
    },
    /// Reports of another service, or of another incarnation than the known one, were ignored.
    ReportIgnored {
        worker: String,
        /// Start time of the incarnation that the report names.
        born_unix_ms: u64,
        reason: &'static str,
        /// Reports ignored for that reason since the previous line about it, with this one.
        reports: u64,
    },
    /// The worker is draining and gets no more starts.
    WorkerDraining {
        worker: String,
        /// Runs still on the worker.
        runs: usize,
    },
    /// The worker has announced that it leaves; its runs are stopped.
    WorkerLeaving {
        worker: String,
        /// Runs still on the worker.
        runs: usize,
    },
    /// The worker reports on as ready, although it was announced that it leaves.
    WorkerStays { worker: String },
    /// The worker no longer responds; it gets no starts until its next response.
    WorkerUnresponsive {
        worker: String,
        /// Age of its latest response, in milliseconds.
        heard_ms_ago: u64,
        /// Number of its runs.
        runs: usize,
    },
    /// The worker leaves and has no more runs, or did not respond until its lease expired.
    WorkerLost {
        worker: String,
        cause: &'static str,
        /// Number of runs that were lost.
        runs: usize,
    },
    /// The worker crashed while it ran tasks.
    WorkerCrashed {
        worker: String,
        /// Tasks that were running.
        tasks: Vec<String>,
    },
    /// The worker accepts starts: it has no orphaned runs.
    WorkerReady {
        worker: String,
        /// Fencing token in use.
        token: u64,
    },
    /// A run was rejected or never started.
    RunNotStarted {
        job: String,
        run: String,
        reason: &'static str,
        /// Free CPU, in thousandths of a core.
        free_cpu_milli: u32,
    },
    /// A run finished with an outcome other than done.
    RunEnded {
        job: String,
        run: String,
        /// The outcome.
        end: &'static str,
        ran_ms: u64,
        /// Why the run was stopped, or what shows its loss; empty if it ended by itself.
        cause: &'static str,
    },
    /// A start call got no response; a run list under a higher fencing token resolves its outcome.
    OrderUnanswered {
        job: String,
        run: String,
        /// The new token.
        token: u64,
    },
    /// The worker has seen a higher fencing token.
    Fenced {
        worker: String,
        /// The new token.
        token: u64,
    },
    /// The worker runs something that this process did not start; it is stopped.
    StrayRun {
        job: String,
        task: String,
        /// Run number at the worker.
        number: u32,
    },
    /// The operators' document was fetched from an entry.
    DocumentFetched {
        entry: String,
        revision: u64,
        /// Length of the document.
        bytes: usize,
        took_ms: u64,
    },
    /// A newer set of evacuated zones was applied.
    NewsTaken {
        /// Store version of the set.
        version: u64,
        evacuated: Vec<String>,
        /// Who sent it: an entry or the store.
        source: &'static str,
    },
    /// No entry has read the evacuated zones lately; the agent reads them itself.
    ZonesOutdated {
        /// Store version of the known zones.
        version: u64,
        /// Time since they were last read; `None` if they are unknown.
        age_ms: Option<u64>,
    },
    /// The operators' document was read from the store, because no entry reads it.
    DocumentRead {
        /// Version of the store row.
        revision: u64,
        bytes: usize,
    },
    /// An entry reads the evacuated zones again.
    ZonesConfirmed {
        /// Store version of the known zones.
        version: u64,
        /// Reads by this agent since they were outdated.
        reads: u64,
        /// Those of them that failed.
        failed_reads: u64,
    },
}
