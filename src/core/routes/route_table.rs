//! Which queue a request is for.

use std::collections::BTreeMap;

/// One queue.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Route {
    /// Its name.
    pub(crate) name: String,
    /// Host that requests name.
    pub(crate) host: String,
    /// How their paths begin.
    pub(crate) path_prefix: String,
    /// The service whose workers run its tasks.
    pub(crate) service: String,
    /// Longest time from a request's arrival to its answer.
    pub(crate) timeout_ms: u64,
    /// Runs of a task that may fail before its job fails.
    pub(crate) max_attempts: u32,
    /// Lower values are more urgent.
    pub(crate) priority: u32,
    /// The objective is this many times the job's longest chain of work ...
    pub(crate) stretch: f64,
    /// ... and so much more.
    pub(crate) target_ms: u64,
    /// Starts on this queue need a ticket of the advice service.
    pub(crate) needs_advice: bool,
}

/// Routes by host, then by prefix.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    hosts: BTreeMap<String, BTreeMap<String, Route>>,
}

impl RouteTable {
    /// A table of these routes.
    pub(crate) fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let prefixes = table.hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), route);
        }
        table
    }

    /// The route with the longest prefix that the path begins with.
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

    /// Routes in all.
    pub(crate) fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }
}
