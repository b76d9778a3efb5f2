//! Execution of tasks on an agent's single worker, on behalf of several entries; a task never has
//! two runs at once.

mod capacity;
mod capacity_shares;
mod capacity_use;
mod crashes;
mod departure;
mod documents;
mod entry_link;
mod execution_event;
mod execution_log_event;
mod executor;
mod first_token;
mod incarnations;
mod lease;
mod lost_calls;
mod queue_levels;
mod restored_worker;
mod retirement;
mod run;
mod run_calls;
mod run_list;
mod sessions;
mod speed;
mod worker_state;
mod zone_reads;

#[cfg(test)]
mod tests;

pub(crate) use {
    execution_event::{
        ExecutionAction, ExecutionEvent, HoldCall, HoldResponse, LeavingWorker, ListedEnd,
        ListedRun, SessionId, StartCall, StartResponse, StopCall,
    },
    execution_log_event::ExecutionLogEvent,
    executor::{Executor, ExecutorSettings},
    first_token::first_token,
    lease::INITIAL_TOKEN_STEP,
};
