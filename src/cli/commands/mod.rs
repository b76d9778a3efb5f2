//! What each command of `rattanslip` does.

mod check;
mod config;
mod hash_token;
mod jobs;
mod run;
mod words;
mod workers;

pub(crate) use {run::run, words::describe_conflicts};
