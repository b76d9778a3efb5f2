//! Detects that the entry was suspended or isolated.

use {
    super::{
        DispatchAction, DispatchLogEvent, Dispatcher, GiveUpReason, JobOutcome, LinkId,
        admission::final_outcome, job::JobKey,
    },
    crate::core::time::Instant,
};

/// Time after a suspension in which nothing starts, in milliseconds; pending input is read first,
/// above all that clients have disconnected.
const RESUME_DELAY_MS: u64 = 100;

/// When this entry last handled events and last received a frame.
#[derive(Debug, Default)]
pub(super) struct Connectivity {
    last_handled_at: Option<Instant>,
    /// When a frame last arrived from any agent; initially when the entry started.
    last_heard_at: Instant,
    resume_at: Instant,
}

impl Connectivity {
    pub(super) fn record_message(&mut self, now: Instant) {
        self.last_heard_at = now;
    }

    /// Whether start orders may be sent.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        now >= self.resume_at
    }
}

impl Dispatcher {
    /// Detects that the process was suspended.
    ///
    /// Meanwhile the agents have stopped its runs, and its clients may have submitted their jobs to
    /// other entries. To prevent two runs of a task, all sessions are closed, jobs that may run
    /// elsewhere are ended, and nothing starts until the pending input has been read.
    pub(super) fn detect_suspension(&mut self, now: Instant) {
        let Some(last_handled_at) = self.connectivity.last_handled_at.replace(now) else {
            self.connectivity.last_heard_at = now;
            return;
        };
        let after_ms = now.millis_since(last_handled_at);
        if after_ms < self.settings.limits.liveness_timeout_ms {
            return;
        }
        let open = self.open_jobs();
        self.log_event(DispatchLogEvent::Woke { after_ms, open });
        self.connectivity.resume_at = now.plus_ms(RESUME_DELAY_MS);
        let links: Vec<LinkId> = self.by_link.keys().copied().collect();
        for link in links {
            self.actions.push(DispatchAction::Close { link });
            self.disconnect(now, link, "woke");
        }
        self.end_isolated_jobs(now);
    }

    /// Gives up jobs that may run elsewhere.
    ///
    /// Without frames from any agent this entry may be isolated: its agents have stopped its runs,
    /// and a client whose disconnect it has not seen may have submitted its job to another entry. A
    /// client that still waits gets "may have run", or "not run" if nothing was started, and may
    /// submit its job to an entry with agents.
    pub(super) fn end_isolated_jobs(&mut self, now: Instant) {
        let isolation_timeout_ms = self.settings.limits.isolation_timeout_ms;
        let last_heard_at = self.connectivity.last_heard_at;
        let is_isolated = |since: Instant| now.millis_since(since) >= isolation_timeout_ms;
        if !is_isolated(last_heard_at) {
            return;
        }
        let isolated: Vec<(JobKey, String, JobOutcome)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.closed && is_isolated(job.received_at))
            .map(|(key, job)| {
                let outcome = final_outcome(job, GiveUpReason::Isolated);
                (key, job.id.to_string(), outcome)
            })
            .collect();
        let heard_ms_ago = now.millis_since(last_heard_at);
        for (key, job, outcome) in isolated {
            self.log_event(DispatchLogEvent::JobIsolated { job, heard_ms_ago });
            self.finish_job(now, key, outcome);
        }
    }
}
