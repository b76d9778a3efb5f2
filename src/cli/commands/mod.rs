//! What each command of `rattanslip` does.

mod check;
mod config;
mod hash_token;
mod jobs;
mod run;
mod workers;

pub(crate) use run::run;
