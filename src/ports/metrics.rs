//! Counters, gauges and histograms.

use {crate::core::verdict::reasons, std::fmt::Debug};

reasons! {
    /// Counters, each with a reason label.
    Counter {
        /// Rejected requests (`not-run`), by reason.
        Refusals => "rattanslip.refusals",
        /// Jobs of competing queues that were refused for lack of capacity, by queue, and by whether they
        /// were within the share of the queue.
        QueueRefusals => "rattanslip.queue_refusals",
        /// Retries, by the reason why the previous attempt failed.
        Retries => "rattanslip.retries",
        /// Finished jobs at their home, by verdict reason.
        Jobs => "rattanslip.jobs",
        /// Runners that a home ejects, by reason.
        Ejections => "rattanslip.ejections",
        /// Messages between homes and runners that did not lead to a start, by kind.
        WastedMessages => "rattanslip.wasted_messages",
        /// Tasks sent to the backend server.
        Starts => "rattanslip.starts",
        /// Start orders, by whether the task was expected to meet its objective.
        ExpectedStarts => "rattanslip.expected_starts",
        /// Responses to clients, by verdict.
        Answers => "rattanslip.answers",
        /// Calls to the platform's store, by kind and outcome.
        StoreCalls => "rattanslip.store_calls",
        /// Replacements of all connections to a server after a timeout, by server.
        ConnectionReplacements => "rattanslip.connection_replacements",
        /// Digests sent to other entries, by outcome.
        Digests => "rattanslip.digests",
        /// Notices to agents that their zone or worker was opened or closed, by outcome.
        GateNotices => "rattanslip.gate_notices",
        /// Changes of the configuration, by outcome.
        ConfigChanges => "rattanslip.config_changes",
        /// Announcements, by outcome.
        Announcements => "rattanslip.announcements",
        /// Dials of entries, by outcome.
        Dials => "rattanslip.dials",
        /// Closed connections and sessions to peers, by cause.
        PeerLosses => "rattanslip.peer_losses",
        /// Bytes of the operators' document, by operation.
        DocumentBytes => "rattanslip.document_bytes",
        /// Payload bytes on connections to peers, by direction.
        PeerBytes => "rattanslip.peer_bytes",
        /// Connections that were closed because a limit was reached, by limit.
        ClosedConnections => "rattanslip.closed_connections",
        /// Writes to connections to peers; each is about one TCP segment.
        PeerWrites => "rattanslip.peer_writes",
    }
}

reasons! {
    Gauge {
        /// Version of the configuration in use.
        ConfigVersion => "rattanslip.config_version",
        /// Live agents.
        AgentsAlive => "rattanslip.agents_alive",
        /// Share of a competing queue's demand that fits, in thousandths, by queue.
        QueueLevel => "rattanslip.queue_level_permille",
        /// Unfinished jobs at this home.
        JobsRunning => "rattanslip.jobs_running",
        /// Running tasks at this runner.
        TasksRunning => "rattanslip.tasks_running",
        /// Run time on the worker divided by the estimate, in thousandths.
        Slowness => "rattanslip.slowness_permille",
    }
}

reasons! {
    /// Distributions of durations, in milliseconds.
    Histogram {
        /// Time from a job's arrival to its outcome, by outcome.
        JobTook => "rattanslip.job_took_ms",
        /// Time from a job's arrival until its last task was dispatched, by outcome.
        JobWaited => "rattanslip.job_waited_ms",
    }
}

/// What the connections to a server hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLoad {
    /// Open connections.
    pub(crate) connections: u64,
    /// Bytes of requests that are being received or handled.
    pub(crate) buffered_bytes: u64,
}

/// Reads the load of a server; `None` once the server is gone.
pub(crate) type ReadConnectionLoad = Box<dyn Fn() -> Option<ConnectionLoad> + Send + Sync>;

/// Records and renders metrics.
pub(crate) trait Metrics: Debug + Send + Sync {
    /// Adds one to a counter under a reason.
    fn count(&self, counter: Counter, reason: &'static str) {
        self.add(counter, reason, 1);
    }

    /// Adds an amount to a counter under a reason.
    fn add(&self, counter: Counter, reason: &'static str, amount: u64);

    /// Adds one to a counter of a queue under a reason.
    fn count_for_queue(&self, counter: Counter, queue: &str, reason: &'static str);

    fn set(&self, gauge: Gauge, value: u64);

    /// Sets a queue's value of a gauge.
    fn set_for_queue(&self, gauge: Gauge, queue: &str, value: u64);

    /// Records a duration under a reason.
    fn observe(&self, histogram: Histogram, reason: &'static str, elapsed_ms: u64);

    /// Reads the load of a server whenever the metrics are rendered.
    fn observe_connections(&self, _server: &'static str, _read: ReadConnectionLoad) {}

    /// Returns all values in the Prometheus text format.
    fn render(&self) -> String;
}
