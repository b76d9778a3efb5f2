//! A site in simulated time: entries and agents as shipped, over modelled links and a modelled store.

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
