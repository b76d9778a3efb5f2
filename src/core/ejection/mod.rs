//! Runners that are left alone because of what became of the tasks that they were given.

mod ejection_reason;
mod runner_health;

#[cfg(test)]
mod tests;

pub(crate) use {
    ejection_reason::EjectionReason,
    runner_health::{HealthSample, RunnerHealth},
};
