//! What each command of `rattanslip` does.

mod answer_check;
mod check;
mod config;
mod explain;
mod hash_token;
mod jobs;
mod run;
mod words;
mod workers;

#[cfg(test)]
mod tests;

pub(crate) use {run::run, words::describe_conflicts};
