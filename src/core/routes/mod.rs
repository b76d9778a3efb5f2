//! The configuration as entries use it: routes to queues, services and limits.

mod route_table;
mod service_config;
mod site_config;

#[cfg(test)]
mod tests;

pub(crate) use {
    route_table::{Route, RouteTable},
    service_config::{HttpLimits, ServiceConfig},
    site_config::SiteConfig,
};
