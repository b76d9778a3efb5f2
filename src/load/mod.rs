//! Load generator: sends jobs at a given rate, checks the responses and compares response times
//! with an ideal schedule.

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
