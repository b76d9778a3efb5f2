//! Simulation of a site on a paused clock: production entries and agents with a model of links and
//! store.

mod agent_model;
mod entry_model;
mod host_model;
mod paused_timer;
mod site_simulation;
mod store_model;

pub(super) use {
    host_model::HostModel,
    site_simulation::{SiteEvent, SitePlan, SiteSimulation},
    store_model::StoreFault,
};
