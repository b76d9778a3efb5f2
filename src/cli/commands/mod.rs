//! Commands of `rattanslip`.

mod check;
mod config;
mod describe;
mod digest_check;
mod explain;
mod hash_token;
mod jobs;
mod run;
mod workers;

#[cfg(test)]
mod tests;

pub(crate) use {describe::describe_conflicts, run::run};
