//! Outlier ejection: excludes runners from placement based on the results of their tasks.

mod ejection_reason;
mod runner_health;

#[cfg(test)]
mod tests;

pub(crate) use {
    ejection_reason::EjectionReason,
    runner_health::{HealthSample, RunnerHealth},
};
