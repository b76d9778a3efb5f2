//! The load tool: sends jobs at a set rate and checks every answer.

mod report;
mod run;
mod schedule;

pub(crate) use run::run_load;
