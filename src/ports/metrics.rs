//! Counters and gauges.

use {crate::core::verdict::reasons, std::fmt::Debug};

reasons! {
    /// Something counted, split by reason.
    Counter {
        /// Requests refused as "not run", by reason.
        Refusals => "rattanslip.refusals",
        /// Tasks handed to another runner or anew, by the reason of the first try's end.
        Retries => "rattanslip.retries",
        /// Jobs ended at their home, by verdict reason.
        Jobs => "rattanslip.jobs",
        /// Runners that a home leaves alone, by reason.
        Ejections => "rattanslip.ejections",
        /// Messages between homes and runners that served no start, by kind.
        WastedMessages => "rattanslip.wasted_messages",
        /// Tasks handed to the backend server.
        Starts => "rattanslip.starts",
        /// Answers given to clients, by verdict.
        Answers => "rattanslip.answers",
        /// Calls to the platform's store, by kind and outcome.
        StoreCalls => "rattanslip.store_calls",
        /// Digests sent to other entries, by outcome.
        Digests => "rattanslip.digests",
        /// Agents told that their zone was taken out or in, by outcome.
        GateNotices => "rattanslip.gate_notices",
        /// Changes of the configuration, by outcome.
        ConfigChanges => "rattanslip.config_changes",
        /// Announcements, by outcome.
        Announcements => "rattanslip.announcements",
        /// Connections and sessions to peers that were lost, by cause.
        PeerLosses => "rattanslip.peer_losses",
        /// Bytes of the operators' document, by what was done with it.
        DocumentBytes => "rattanslip.document_bytes",
        /// Payload bytes on connections to peers, by direction.
        PeerBytes => "rattanslip.peer_bytes",
        /// Writes to connections to peers; each is about one segment.
        PeerWrites => "rattanslip.peer_writes",
    }
}

reasons! {
    /// Something with a present value.
    Gauge {
        /// Version of the configuration held.
        ConfigVersion => "rattanslip.config_version",
        /// Agents known to be alive.
        AgentsAlive => "rattanslip.agents_alive",
        /// Jobs that have not ended at this home.
        JobsRunning => "rattanslip.jobs_running",
        /// Tasks that run at this runner.
        TasksRunning => "rattanslip.tasks_running",
    }
}

reasons! {
    /// A time that is measured again and again, in milliseconds.
    Histogram {
        /// From a job's arrival to its answer, by the answer.
        JobTook => "rattanslip.job_took_ms",
        /// From a job's arrival until its last task was ordered, by the answer.
        JobWaited => "rattanslip.job_waited_ms",
    }
}

/// Takes in counts and shows them.
pub(crate) trait Metrics: Debug + Send + Sync {
    /// Adds one to a counter under a reason.
    fn count(&self, counter: Counter, reason: &'static str) {
        self.add(counter, reason, 1);
    }

    /// Adds an amount to a counter under a reason.
    fn add(&self, counter: Counter, reason: &'static str, amount: u64);

    /// Sets a gauge.
    fn set(&self, gauge: Gauge, value: u64);

    /// Takes in a time that was measured.
    fn observe(&self, histogram: Histogram, reason: &'static str, elapsed_ms: u64);

    /// All values in Prometheus's text format.
    fn render(&self) -> String;
}
