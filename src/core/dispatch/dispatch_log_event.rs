//! Log events of the dispatcher.

use serde::Serialize;

/// One log event with the figures that the decision was based on.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum DispatchLogEvent {
    /// A job was accepted.
    JobTaken {
        job: String,
        route: String,
        /// Number of tasks.
        tasks: usize,
        /// Time until the client stops waiting.
        time_left_ms: u64,
        /// Estimated time that the client had already waited.
        waited_ms: u64,
        /// Time within which an outcome counts as in time.
        objective_ms: u64,
        /// Tasks that were already waiting.
        queued: usize,
    },
    /// A job was refused.
    JobRefused {
        job: String,
        route: String,
        reason: &'static str,
        /// The unsupported feature, if that is the reason.
        feature: &'static str,
        /// When the client should retry; zero if a retry can't succeed.
        retry_after_ms: u64,
        /// Tasks that were already waiting.
        queued: usize,
    },
    /// A copy of an open job was submitted; it waits for the same outcome.
    JobJoined { job: String },
    /// A copy of a closed job was submitted; it starts when the stopped runs have ended.
    JobHeld {
        job: String,
        /// Runs that have not ended.
        runs: usize,
    },
    /// A client's cancellation was answered.
    CancellationAnswered {
        job: String,
        /// Whether the job was cancelled, here or at another entry.
        is_cancelled: bool,
        /// Time during which other entries were asked; zero if none was.
        took_ms: u64,
    },
    /// A job has its final outcome.
    JobAnswered {
        job: String,
        route: String,
        /// Name of the outcome.
        answer: &'static str,
        /// Why it was refused or given up; empty otherwise.
        reason: &'static str,
        /// Time since submission.
        took_ms: u64,
        /// Time within which an outcome counts as in time.
        objective_ms: u64,
        /// Time from submission to the last start.
        waited_ms: u64,
        /// Start orders sent.
        starts: u32,
        failed_runs: u32,
        /// Whether the job was within or beyond the share of its queue; empty if the queue does not
        /// compete with others.
        share: &'static str,
        /// Tasks that were not done.
        left: usize,
    },
    /// A run ended without success.
    RunLost {
        job: String,
        run: String,
        agent: String,
        /// The run's outcome.
        end: &'static str,
        /// What shows the end: `agent`, `new_session`, or `limits_expired`.
        source: &'static str,
        /// Time since the start order.
        after_ms: u64,
        /// Time since the agent was last heard from.
        heard_ms_ago: u64,
    },
    /// A run exceeds its estimate by far; it is stopped and will be restarted elsewhere.
    RunOverdue {
        job: String,
        run: String,
        agent: String,
        /// Time since the start order.
        after_ms: u64,
        /// The client's estimate.
        estimate_ms: u64,
    },
    /// The process was suspended or got no CPU time.
    Woke {
        /// Duration of the gap.
        after_ms: u64,
        /// Number of open jobs.
        open: usize,
    },
    /// A job is given up because this entry may be isolated and a copy of the job may run
    /// elsewhere.
    JobIsolated {
        job: String,
        /// Time since any agent was last heard from.
        heard_ms_ago: u64,
    },
    /// A session with an agent was opened.
    AgentConnected { agent: String },
    /// A hello is not newer than the agent's latest timestamp; the session is closed.
    HelloOutdated { agent: String },
    /// A session with an agent has ended.
    AgentLost {
        agent: String,
        cause: &'static str,
        /// Time since the agent was last heard from.
        heard_ms_ago: u64,
        /// Runs with an unknown outcome.
        runs: usize,
        /// Time until they have certainly ended.
        over_in_ms: u64,
    },
    /// An agent's worker has changed.
    WorkerChanged {
        agent: String,
        /// The worker's id; empty if the agent has no usable worker.
        worker: String,
        /// Whether it is draining.
        draining: bool,
    },
    /// A worker was ejected because of the results of its tasks.
    WorkerEjected { agent: String, reason: &'static str },
    /// The operators' document was fetched from an agent.
    DocumentFetched {
        agent: String,
        revision: u64,
        bytes: usize,
        /// Duration of the fetch.
        took_ms: u64,
    },
    /// The level of a competing queue has changed between complete and reduced.
    QueueLevel {
        queue: String,
        /// `complete` or `reduced`.
        state: &'static str,
        /// Share of the demanded work that fits, in thousandths.
        level_permille: u16,
        /// Demand of the queue at this entry, in thousandths of a core at a time.
        demand_milli: u64,
    },
    /// Newer evacuated zones are in force.
    NewsInForce {
        /// The store version.
        version: u64,
        evacuated: Vec<String>,
    },
}
