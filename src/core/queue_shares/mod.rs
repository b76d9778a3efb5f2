//! Shares of the queues that compete for the workers of a service.
//!
//! Shares are weighted max-min fair. An entry marks jobs that find no tokens in the bucket of their
//! queue as beyond its share; such jobs use only capacity that the other queues leave. Agents
//! compute levels from the demands of all their entries, so that all entries mark the same part of
//! a queue's jobs.

mod decaying_sum;
mod demand_levels;
mod level_report;
mod level_state;
mod max_min;
mod pool_capacity;
mod queue_bucket;
mod queue_share;
mod queue_shares;
mod refused_jobs;
mod run_cost;
mod service_shares;

#[cfg(test)]
mod tests;

use refused_jobs::RefusedJobs;

pub(crate) use {
    decaying_sum::DecayingSum,
    demand_levels::DemandLevels,
    level_report::LevelReport,
    level_state::LevelChange,
    pool_capacity::PoolCapacity,
    queue_share::{COMPLETE_PERMILLE, ShareClass, ShareGrant},
    queue_shares::QueueShares,
    service_shares::{ServiceShares, URGENT_ARRIVAL_SHARE},
};
