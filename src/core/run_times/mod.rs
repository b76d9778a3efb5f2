//! Distributions of task run times, by service.

mod run_times;

#[cfg(test)]
mod tests;

pub(crate) use run_times::RunTimes;
