//! An entry that was suspended or cut off.

use {
    super::{
        DispatchAction, DispatchLogEvent, Dispatcher, GiveUpReason, JobOutcome, LinkId,
        intake::final_answer, job::JobKey,
    },
    crate::core::time::Instant,
};

/// Time after a suspension in which nothing starts, in milliseconds: long enough to read what lies in the
/// sockets, above all that clients have gone.
const SETTLE_MS: u64 = 100;

/// When this entry was last at work and in touch.
#[derive(Debug, Default)]
pub(super) struct Contact {
    handled_at: Option<Instant>,
    /// The newest word of any agent, or when the entry began to wait for one.
    heard_at: Instant,
    settled_at: Instant,
}

impl Contact {
    pub(super) fn heard(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// Whether tasks may be ordered.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        now >= self.settled_at
    }
}

impl Dispatcher {
    /// Finds that the process did nothing for a while.
    ///
    /// Guards against two runs of a task: meanwhile its agents have stopped what it had started, and its clients may
    /// have sent their jobs to other entries. All sessions are given up, jobs are ended if a copy
    /// may run elsewhere, and nothing starts before what lies in the sockets has been read.
    pub(super) fn note_gap(&mut self, now: Instant) {
        let Some(handled_at) = self.contact.handled_at.replace(now) else {
            self.contact.heard_at = now;
            return;
        };
        let after_ms = now.millis_since(handled_at);
        if after_ms < self.settings.limits.liveness_timeout_ms {
            return;
        }
        let open = self.open_jobs();
        self.log_event(DispatchLogEvent::Woke { after_ms, open });
        self.contact.settled_at = now.plus_ms(SETTLE_MS);
        let links: Vec<LinkId> = self.by_link.keys().copied().collect();
        for link in links {
            self.actions.push(DispatchAction::Close { link });
            self.lose_link(now, link, "woke");
        }
        self.end_isolated_jobs(now);
    }

    /// Gives up jobs of which a copy may run elsewhere.
    ///
    /// Without word from any agent for long, this entry may be the one that is cut off: its agents have stopped
    /// what it had started, and a client that broke off, unseen from here, may have sent its
    /// job to another entry. A client that still waits sends its job again on "may have run", and comes
    /// back to an entry that has agents where nothing of it was started.
    pub(super) fn end_isolated_jobs(&mut self, now: Instant) {
        let isolation_ms = self.settings.limits.isolation_timeout_ms;
        let heard_at = self.contact.heard_at;
        let is_isolated = |since: Instant| now.millis_since(since) >= isolation_ms;
        if !is_isolated(heard_at) {
            return;
        }
        let isolated: Vec<(JobKey, String, JobOutcome)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.closed && is_isolated(job.received_at))
            .map(|(key, job)| {
                let answer = final_answer(job, GiveUpReason::Isolated);
                (key, job.id.to_string(), answer)
            })
            .collect();
        let heard_ms_ago = now.millis_since(heard_at);
        for (key, job, answer) in isolated {
            self.log_event(DispatchLogEvent::JobIsolated { job, heard_ms_ago });
            self.answer(now, key, answer);
        }
    }
}
