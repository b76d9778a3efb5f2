//! Bounds that keep two runs of one task apart.

/// Bounds that entries and agents share; every figure counts time that goes on through a suspension.
///
/// An agent may run tasks for an entry until `liveness_timeout_ms` after the newest of its own time
/// stamps that the entry has sent back. After that it stops them; if the worker does not answer, it
/// lets the worker's lease lapse. An entry that has received nothing from an agent may therefore
/// start a task elsewhere [`RunLimits::runs_stopped_after_ms`] after the last stamp arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunLimits {
    /// For how long an agent runs tasks without word from their entry.
    pub(crate) liveness_timeout_ms: u64,
    /// Length of the lease that an agent holds at its worker.
    pub(crate) lease_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub(crate) stop_ms: u64,
    /// Time without word from any agent after which an entry gives its jobs up.
    pub(crate) isolation_timeout_ms: u64,
}

/// Slowest clock of a worker: its lease lasts up to 2% longer than asked for.
const CLOCK_SLACK_PERCENT: u64 = 2;
/// Room for ticks and for calls on their way, in milliseconds: two ticks of 20 ms at an agent
/// whose processor share is used up for the rest of a tenth of a second.
const SCHEDULING_SLACK_MS: u64 = 120;
/// Pause between beats, in milliseconds: a quarter of the silence, so that three may be late.
const HEARTBEATS_PER_TIMEOUT: u64 = 4;

impl RunLimits {
    /// Bounds under which a job that is sent again after `resend_ms` finds its first copy stopped.
    ///
    /// Not quite half of that time is for silence and a third for the lease; the rest covers a stop, the
    /// worker's slow clock and scheduling. An entry counts itself as cut off after three quarters, so that it
    /// has given a job up before a copy of it can run elsewhere.
    pub(crate) const fn for_resend(resend_ms: u64, stop_ms: u64) -> Self {
        let (liveness_timeout_ms, lease_ms) = (resend_ms * 45 / 100, resend_ms / 3);
        Self {
            liveness_timeout_ms,
            lease_ms,
            stop_ms,
            isolation_timeout_ms: resend_ms * 3 / 4,
        }
    }

    /// Pause between beats.
    pub(crate) const fn heartbeat_interval_ms(self) -> u64 {
        self.liveness_timeout_ms / HEARTBEATS_PER_TIMEOUT
    }

    /// Longest lapse of a lease on the clock of an observer.
    pub(crate) const fn max_lease_ms(self) -> u64 {
        self.lease_ms + self.lease_ms * CLOCK_SLACK_PERCENT / 100
    }

    /// Time after an agent's last stamp arrived until nothing that it ran for this entry is left.
    pub(crate) const fn runs_stopped_after_ms(self) -> u64 {
        self.liveness_timeout_ms + self.max_lease_ms() + self.stop_ms + SCHEDULING_SLACK_MS
    }
}
