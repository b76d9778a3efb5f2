//! Decisions of the dispatcher, for the log.

use serde::Serialize;

/// One decision with what it was based on.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum DispatchLogEvent {
    /// A job was taken in.
    JobTaken {
        /// The job.
        job: String,
        /// Its queue.
        route: String,
        /// Its tasks.
        tasks: usize,
        /// Time until the client stops waiting.
        time_left_ms: u64,
        /// For how long its client had waited already, at least, in milliseconds.
        waited_ms: u64,
        /// Time within which an answer counts as in time.
        objective_ms: u64,
        /// Tasks that wait already.
        queued: usize,
    },
    /// A job was not taken in.
    JobRefused {
        /// The job.
        job: String,
        /// Its queue.
        route: String,
        /// Why.
        reason: &'static str,
        /// What it asks for that is not built, if that is why.
        feature: &'static str,
        /// When the client was told to come back; zero if that can't help.
        retry_after_ms: u64,
        /// Tasks that wait already.
        queued: usize,
    },
    /// A copy of a job that is under way was handed in; it waits for the same answer.
    JobJoined {
        /// The job.
        job: String,
    },
    /// A copy of a job whose stopped runs are not over was handed in; it begins after them.
    JobHeld {
        /// The job.
        job: String,
        /// Runs that are not over.
        runs: usize,
    },
    /// A job has its final answer.
    JobAnswered {
        /// The job.
        job: String,
        /// Its queue.
        route: String,
        /// The answer.
        answer: &'static str,
        /// Why, where it was refused or given up.
        reason: &'static str,
        /// Time since it was handed in.
        took_ms: u64,
        /// Time within which an answer counts as in time.
        objective_ms: u64,
        /// Time from handing in until its last task had started.
        waited_ms: u64,
        /// Start orders sent.
        starts: u32,
        /// Runs that failed.
        failed_runs: u32,
        /// Tasks that were not done.
        left: usize,
    },
    /// A run came to another end than done.
    RunLost {
        /// The job.
        job: String,
        /// The run.
        run: String,
        /// The agent.
        agent: String,
        /// Its end.
        end: &'static str,
        /// Time since the start order.
        after_ms: u64,
        /// Age of the agent's last word.
        heard_ms_ago: u64,
    },
    /// A run takes far longer than estimated; it is stopped, to be started elsewhere.
    RunOverdue {
        /// The job.
        job: String,
        /// The run.
        run: String,
        /// The agent.
        agent: String,
        /// Time since the start order.
        after_ms: u64,
        /// The client's estimate.
        estimate_ms: u64,
    },
    /// The process did nothing for a while: it was suspended or got no processor time.
    Woke {
        /// For how long.
        after_ms: u64,
        /// Jobs that are open.
        open: usize,
    },
    /// A job is given up, since this entry may be cut off and a copy of the job run elsewhere.
    JobIsolated {
        /// The job.
        job: String,
        /// Age of the newest word of any agent.
        heard_ms_ago: u64,
    },
    /// An agent's session is open.
    AgentConnected {
        /// The agent.
        agent: String,
    },
    /// A hello is older than what is known of its agent; the session is given up.
    HelloOutdated {
        /// The agent.
        agent: String,
    },
    /// An agent's session is lost or given up.
    AgentLost {
        /// The agent.
        agent: String,
        /// Why.
        cause: &'static str,
        /// Age of its last word.
        heard_ms_ago: u64,
        /// Runs that are in doubt.
        runs: usize,
        /// Time until they are certainly over.
        over_in_ms: u64,
    },
    /// An agent's worker has changed.
    WorkerChanged {
        /// The agent.
        agent: String,
        /// The worker's name; empty if there is none to use.
        worker: String,
        /// Whether it is about to end.
        draining: bool,
    },
    /// A worker is left alone because of what became of its tasks.
    WorkerEjected {
        /// The agent.
        agent: String,
        /// Why.
        reason: &'static str,
    },
    /// The operators' document was fetched from an agent.
    DocumentFetched {
        /// The agent.
        agent: String,
        /// Its revision.
        revision: u64,
        /// Its length.
        bytes: usize,
        /// For how long it was fetched.
        took_ms: u64,
    },
    /// Newer news is gone by.
    NewsInForce {
        /// Its version.
        version: u64,
        /// Zones that are taken out.
        evacuated: Vec<String>,
    },
}
