//! Keeps clients' jobs at an entry and hands their tasks to agents.

mod arrival_rate;
mod choice;
mod contact;
mod dispatch_event;
mod dispatch_log_event;
mod dispatcher;
mod documents;
mod ends;
mod intake;
mod job;
mod links;
mod outlook;
mod overdue;
mod pace;
mod patience;
mod placing;
mod queue;
mod worker_link;

#[cfg(test)]
mod tests;

pub(crate) use {
    dispatch_event::{
        DispatchAction, DispatchEvent, GiveUpReason, JobOutcome, LinkId, RefusalReason, Submission,
        WaiterId,
    },
    dispatch_log_event::DispatchLogEvent,
    dispatcher::{DispatchSettings, Dispatcher},
};
