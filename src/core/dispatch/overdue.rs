//! Runs that take far longer than estimated.

use {
    super::{DispatchAction, DispatchLogEvent, Dispatcher},
    crate::core::{link::EntryFrame, time::Instant},
};

/// A run is stopped once it has taken this many times its estimate ...
///
/// Run times are spread around the estimate by a factor of two or so; of runs that take four times as
/// long almost all are on a worker that stands still or crawls.
const OVERDUE_FACTOR: u64 = 4;
/// ... and at least so much, in milliseconds: a restart costs a stop, two messages and another start.
const MIN_OVERDUE_MS: u64 = 250;

impl Dispatcher {
    /// Stops runs at workers that stand still or crawl, to start them elsewhere.
    ///
    /// Guards against workers that look healthy and end nothing: their tasks would wait until the
    /// client's deadline. The task starts again only when its agent has said that the run is over.
    pub(super) fn stop_overdue_runs(&mut self, now: Instant) {
        let mut overdue = Vec::new();
        for worker in self.workers.values_mut() {
            let Some(link) = worker.link else {
                continue;
            };
            for (run, open) in &mut worker.runs {
                let after_ms = now.millis_since(open.start_sent_at);
                let limit_ms = (open.estimate_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS);
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
