//! The load tool: sends jobs at a set rate, checks every answer and measures against the ideal.

mod ideal_schedule;
mod load_client;
mod load_stats;
mod probe;
mod report;
mod run;
mod schedule;
mod ticket_pool;

#[cfg(test)]
mod tests;

pub(crate) use run::run_load;
