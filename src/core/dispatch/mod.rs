//! Keeps clients' jobs at an entry and hands their tasks to agents.

mod arrival_rate;
mod choice;
mod contact;
mod dispatch_event;
mod dispatch_note;
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
        Answer, DispatchAction, DispatchEvent, GiveUpReason, LinkId, RefusalReason, Submission,
        WaiterId,
    },
    dispatch_note::DispatchNote,
    dispatcher::{DispatchSettings, Dispatcher},
};
