//! Decisions of the executor, for the log.

use serde::Serialize;

/// One decision with what it was based on.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ExecutionLogEvent {
    /// A session with an entry is open.
    EntryConnected {
        /// The entry's address.
        entry: String,
    },
    /// A session with an entry ended; what it started is stopped.
    EntryLost {
        /// The entry's address.
        entry: String,
        /// Why.
        cause: &'static str,
        /// Age of the entry's last word.
        heard_ms_ago: u64,
        /// Runs that are stopped.
        runs: usize,
    },
    /// A worker, or another life of it, is beside this agent.
    WorkerSeen {
        /// Its name.
        worker: String,
        /// When the life began.
        born_unix_ms: u64,
        /// Runs that are lost with the life before.
        runs_lost: usize,
    },
    /// The worker is about to end and is given nothing more.
    WorkerDraining {
        /// Its name.
        worker: String,
        /// Runs there.
        runs: usize,
    },
    /// The worker is gone or has not answered until its lease was over.
    WorkerLost {
        /// Its name.
        worker: String,
        /// Why.
        cause: &'static str,
        /// Runs that are lost.
        runs: usize,
    },
    /// The worker is ready: nothing runs there that nobody here started.
    WorkerReady {
        /// Its name.
        worker: String,
        /// Fencing token in use.
        token: u64,
    },
    /// A run was refused or came to nothing.
    RunNotStarted {
        /// The job.
        job: String,
        /// The run.
        run: String,
        /// Why.
        reason: &'static str,
        /// Processor time that was free, in thousandths of a core.
        free_cpu_milli: u32,
    },
    /// A run ended otherwise than done.
    RunEnded {
        /// The job.
        job: String,
        /// The run.
        run: String,
        /// How.
        end: &'static str,
        /// For how long it ran.
        ran_ms: u64,
        /// Why it was stopped, if it was.
        cause: &'static str,
    },
    /// A start was not answered; a higher fencing token settles what became of it.
    OrderUnanswered {
        /// The job.
        job: String,
        /// The run.
        run: String,
        /// The token from now on.
        token: u64,
    },
    /// The worker has seen a higher fencing token.
    Fenced {
        /// Its name.
        worker: String,
        /// The token from now on.
        token: u64,
    },
    /// Something runs at the worker that nobody here started; it is stopped.
    StrayRun {
        /// The job.
        job: String,
        /// The task.
        task: String,
        /// Number of the run.
        number: u32,
    },
    /// The operators' document was fetched from an entry.
    DocumentFetched {
        /// The entry's address.
        entry: String,
        /// Its revision.
        revision: u64,
        /// Its length.
        bytes: usize,
        /// For how long it was fetched.
        took_ms: u64,
    },
    /// Newer word of what operators have set.
    NewsTaken {
        /// Its version.
        version: u64,
        /// Zones that are taken out.
        evacuated: Vec<String>,
    },
}
