//! Pure decision code: no clock, no socket, no task, no global random state.
//!
//! Each machine takes (now, event) and returns actions, so another clock and network
//! can drive the code that ships.

pub(crate) mod admission;
pub(crate) mod claim;
pub(crate) mod config;
pub(crate) mod connections;
pub(crate) mod demand;
pub(crate) mod directory;
pub(crate) mod dispatch;
pub(crate) mod document;
pub(crate) mod ejection;
pub(crate) mod entry_list;
pub(crate) mod entry_selection;
pub(crate) mod execution;
pub(crate) mod gate;
pub(crate) mod home;
pub(crate) mod job;
pub(crate) mod link;
pub(crate) mod message;
pub(crate) mod placement;
pub(crate) mod queue_shares;
pub(crate) mod redial;
pub(crate) mod roster;
pub(crate) mod routes;
pub(crate) mod run_times;
pub(crate) mod runner;
pub(crate) mod store_budget;
pub(crate) mod ticket;
pub(crate) mod time;
pub(crate) mod verdict;
pub(crate) mod work;
pub(crate) mod worker_speed;

#[cfg(test)]
mod tests;
