//! Maps requests to queues by host and path.

use std::collections::{BTreeMap, BTreeSet};

/// The route to a queue, with the queue's settings.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Route {
    /// The queue's name.
    pub(crate) name: String,
    /// Host of the requests.
    pub(crate) host: String,
    /// Prefix of the requests' paths.
    pub(crate) path_prefix: String,
    /// The service whose workers run its tasks.
    pub(crate) service: String,
    /// Maximum time from a request's arrival to its response.
    pub(crate) timeout_ms: u64,
    /// Failed runs of a task after which its job fails.
    pub(crate) max_attempts: u32,
    /// Lower values are more urgent.
    pub(crate) priority: u32,
    /// Factor of the objective, which is `stretch` times the job's critical path plus `target_ms`.
    pub(crate) stretch: f64,
    /// Constant part of the objective.
    pub(crate) target_ms: u64,
    /// Whether starts on this queue need a ticket of the advice service.
    pub(crate) needs_advice: bool,
    /// Whether its service has another queue with a different priority; [`RouteTable::new`] sets it.
    pub(crate) competes: bool,
}

/// Routes by host, then by path prefix.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    hosts: BTreeMap<String, BTreeMap<String, Route>>,
}

impl RouteTable {
    /// Creates a table of these routes.
    pub(crate) fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = Self::default();
        let routes: Vec<Route> = routes.into_iter().collect();
        let mut priorities: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
        for route in &routes {
            let of_service = priorities.entry(route.service.clone()).or_default();
            of_service.insert(route.priority);
        }
        for mut route in routes {
            let of_service = priorities.get(&route.service);
            route.competes = of_service.is_some_and(|priorities| priorities.len() > 1);
            let prefixes = table.hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), route);
        }
        table
    }

    /// The route with the longest prefix that matches the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        loop {
            if let Some(route) = path.get(..end).and_then(|prefix| prefixes.get(prefix)) {
                return Some(route);
            }
            end = end.checked_sub(1)?;
        }
    }

    /// Number of routes.
    pub(crate) fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }
}
