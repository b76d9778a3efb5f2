//! Tracks clients' jobs at an entry and dispatches their tasks to agents.

mod admission;
mod arrival_rate;
mod cancellation;
mod client_deadlines;
mod connectivity;
mod crashes;
mod dispatch_event;
mod dispatch_log_event;
mod dispatcher;
mod documents;
mod expected_completion;
mod job;
mod links;
mod outcomes;
mod overdue;
mod overload;
mod placement;
mod queue;
mod queue_levels;
mod throughput;
mod weighted_choice;
mod worker_discovery;
mod worker_link;
mod worker_speeds;

#[cfg(test)]
mod tests;

pub(crate) use {
    dispatch_event::{
        DispatchAction, DispatchEvent, GiveUpReason, JobOutcome, LinkId, RefusalReason, Submission,
        WaiterId,
    },
    dispatch_log_event::DispatchLogEvent,
    dispatcher::{DispatchSettings, Dispatcher},
    expected_completion::StartCounts,
};
