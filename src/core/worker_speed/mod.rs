//! Speed of workers: its measurement at the agent, and what follows from it for placement at the
//! entry.

mod completion_weight;
mod measured_speed;
mod service_speed;

#[cfg(test)]
mod tests;

pub(crate) use {
    completion_weight::{Candidate, CompletionWeight, TaskTerms},
    measured_speed::{MeasuredSpeed, NORMAL_PERMILLE},
    service_speed::ServiceSpeed,
};
