//! Demands of homes for slots of a runner.

mod demand_queue;

#[cfg(test)]
mod tests;

pub(crate) use demand_queue::DemandQueue;
