//! Maps requests to queues by host and path.

use std::collections::BTreeMap;

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
        for route in routes {
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
