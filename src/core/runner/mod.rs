//! Runs tasks on the local backend server, each at most once.

mod home_link;
mod offers;
mod runner;
mod runner_event;

#[cfg(test)]
mod tests;

pub(crate) use {
    runner::{Runner, RunnerSettings},
    runner_event::{RunnerAction, RunnerEvent, SessionId},
};
