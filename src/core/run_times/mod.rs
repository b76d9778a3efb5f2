//! How long tasks run, learnt for each service.

mod run_times;

#[cfg(test)]
mod tests;

pub(crate) use run_times::RunTimes;
