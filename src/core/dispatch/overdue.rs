//! Stops runs that exceed their estimate by far.

use {
    super::{DispatchAction, DispatchLogEvent, Dispatcher},
    crate::core::{link::EntryFrame, time::Instant},
};

/// A run is overdue after this many times its estimate and the slowness of its worker, but not before
/// [`MIN_OVERDUE_MS`].
///
/// Run times vary around the estimate by a factor of about two; nearly all runs that take four times
/// as long are on a stalled or very slow worker.
const OVERDUE_FACTOR: u64 = 4;
/// Shortest time after which a run is overdue, in milliseconds; a restart costs a stop, two messages
/// and another start.
const MIN_OVERDUE_MS: u64 = 250;

impl Dispatcher {
    /// Stops runs on stalled or very slow workers, so that they can start elsewhere.
    ///
    /// Such workers look healthy, and their tasks would otherwise wait until the client's deadline.
    /// A task is restarted only after the agent has reported the end of its run.
    pub(super) fn stop_overdue_runs(&mut self, now: Instant) {
        let mut overdue = Vec::new();
        for worker in self.workers.values_mut() {
            let Some(link) = worker.link else {
                continue;
            };
            let factor = worker.overdue_factor();
            for (run, open) in &mut worker.runs {
                let after_ms = now.millis_since(open.start_sent_at);
                let limit_ms = (open.estimate_ms * OVERDUE_FACTOR) as f64 * factor;
                let limit_ms = (limit_ms as u64).max(MIN_OVERDUE_MS);
                if !open.stopping && after_ms > limit_ms {
                    open.stopping = true;
                    let event = DispatchLogEvent::RunOverdue {
                        job: run.task.job.to_string(),
                        run: run.to_string(),
                        agent: worker.agent.clone(),
                        after_ms,
                        estimate_ms: open.estimate_ms,
                    };
                    overdue.push((link, *run, event));
                }
            }
        }
        for (link, run, event) in overdue {
            let frame = EntryFrame::Stop { run };
            self.actions.push(DispatchAction::Send { link, frame });
            self.log_event(event);
        }
    }
}
