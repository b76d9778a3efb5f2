//! When an agent dials the entries with which it maintains sessions.

mod dial_budget;
mod dial_outcome;
mod redial_schedule;

#[cfg(test)]
mod tests;

pub(crate) use {dial_outcome::DialOutcome, redial_schedule::RedialSchedule};
