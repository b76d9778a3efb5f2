//! Retirement of sessions that the agent no longer needs.

use {
    super::{ExecutionAction, ExecutionLogEvent, Executor, SessionId},
    crate::core::{link::AgentFrame, time::Instant, work::WorkerView},
};

/// Minimum time between the retirement of a session and its close, in milliseconds; start orders
/// that were in transit have been rejected by then.
const RETIREMENT_MS: u64 = 1_000;

impl Executor {
    /// Announces the worker as draining to the entry of a session that is no longer needed, so that
    /// the entry starts its tasks elsewhere.
    pub(super) fn retire_session(&mut self, now: Instant, session: SessionId) {
        let view = self.announced_worker().map(|view| WorkerView {
            draining: true,
            ..view
        });
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        if link.retiring_since.is_some() {
            return;
        }
        link.retiring_since = Some(now);
        let entry = link.entry.clone();
        self.clear_request(session);
        self.send(session, AgentFrame::Worker(view));
        let runs = self.tasks_of_session(session).len();
        self.log_event(ExecutionLogEvent::SessionRetired { entry, runs });
    }

    /// Closes retired sessions whose runs have finished.
    pub(super) fn close_retired_sessions(&mut self, now: Instant) {
        let is_over = |since| now.millis_since(since) >= RETIREMENT_MS;
        let over: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(session, link)| {
                link.retiring_since.is_some_and(is_over)
                    && self.runs.values().all(|run| run.session != **session)
            })
            .map(|(session, _)| *session)
            .collect();
        for session in over {
            self.actions.push(ExecutionAction::Close { session });
            self.disconnect_session(now, session, "retired");
        }
    }
}
