//! Time limits that prevent two concurrent runs of one task.

/// Time limits shared by entries and agents, on clocks that keep counting during a suspend.
///
/// An agent may run tasks for an entry until `liveness_timeout_ms` after the newest of its own
/// timestamps that the entry has echoed. After that it stops them; if the worker does not respond,
/// it lets the worker's lease expire. An entry that receives nothing from an agent may therefore
/// start a task elsewhere [`RunLimits::runs_stopped_after_ms`] after the last timestamp arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunLimits {
    /// How long an agent runs tasks without receiving an echo from their entry.
    pub(crate) liveness_timeout_ms: u64,
    /// Duration of the lease that an agent holds on its worker.
    pub(crate) lease_ms: u64,
    /// Maximum time that a worker takes to stop a run.
    pub(crate) stop_ms: u64,
    /// Time without a message from any agent after which an entry gives up its jobs.
    pub(crate) isolation_timeout_ms: u64,
}

/// Maximum drift of a worker's clock: a lease may last this much longer than requested.
const CLOCK_SLACK_PERCENT: u64 = 2;
/// Allowance for timer ticks and calls in transit, in milliseconds: two ticks of an agent and the
/// rest of its CPU quota period.
const SCHEDULING_SLACK_MS: u64 = 120;
/// Heartbeats per liveness timeout, so that three consecutive ones may be late.
const HEARTBEATS_PER_TIMEOUT: u64 = 4;

impl RunLimits {
    /// Limits under which the first copy of a job has stopped when the client resends the job after
    /// `resend_ms`.
    ///
    /// The liveness timeout and the lease leave enough of that time for a stop, the worker's clock
    /// drift and scheduling. An entry considers itself isolated after three quarters of it, so
    /// that it has given up a job before a copy of the job can run elsewhere.
    pub(crate) const fn for_resend(resend_ms: u64, stop_ms: u64) -> Self {
        let (liveness_timeout_ms, lease_ms) = (resend_ms * 45 / 100, resend_ms / 3);
        Self {
            liveness_timeout_ms,
            lease_ms,
            stop_ms,
            isolation_timeout_ms: resend_ms * 3 / 4,
        }
    }

    /// Interval between heartbeats.
    pub(crate) const fn heartbeat_interval_ms(self) -> u64 {
        self.liveness_timeout_ms / HEARTBEATS_PER_TIMEOUT
    }

    /// Maximum duration of a lease on an observer's clock.
    pub(crate) const fn max_lease_ms(self) -> u64 {
        self.lease_ms + self.lease_ms * CLOCK_SLACK_PERCENT / 100
    }

    /// Time after an agent's last timestamp arrived until all its runs for this entry have stopped.
    pub(crate) const fn runs_stopped_after_ms(self) -> u64 {
        self.liveness_timeout_ms + self.max_lease_ms() + self.stop_ms + SCHEDULING_SLACK_MS
    }
}
