//! Runs tasks on the one worker beside an agent, for several entries, never two runs of a task at once.

mod documents;
mod execution_event;
mod execution_log_event;
mod executor;
mod holds;
mod lease;
mod orders;
mod recall;
mod room;
mod run;
mod sessions;
mod worker_state;

#[cfg(test)]
mod tests;

pub(crate) use {
    execution_event::{
        ExecutionAction, ExecutionEvent, HoldCall, HoldResponse, ListedEnd, ListedRun, SessionId,
        StartCall, StartResponse, StopCall,
    },
    execution_log_event::ExecutionLogEvent,
    executor::{Executor, ExecutorSettings},
    lease::LEAST_TOKEN_STEP,
};
