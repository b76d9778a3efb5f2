//! Homes that wait for a slot of one runner.

mod demand_queue;

#[cfg(test)]
mod tests;

pub(crate) use demand_queue::DemandQueue;
