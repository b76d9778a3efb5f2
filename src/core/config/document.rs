//! The parsed configuration document.

use std::collections::BTreeMap;

/// The sections of the document; each team may own different ones.
pub(crate) const SECTIONS: [&str; 4] = ["capacity", "services", "zones", "quotas"];

/// A declared worker, installed or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Worker {
    pub(crate) availability_zone: String,
    /// Workers of one rack share power and a network switch.
    pub(crate) rack: String,
    /// Maximum number of concurrent tasks.
    pub(crate) slots: u16,
    /// Memory available to tasks.
    pub(crate) memory_mb: u32,
    /// Accelerators available to tasks.
    pub(crate) accelerators: u16,
    /// Whether the worker is installed in its rack.
    pub(crate) arrived: bool,
}

/// A service that clients submit to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Service {
    /// The zones in which its tasks may run.
    pub(crate) availability_zones: Vec<String>,
    /// Deadline of requests that specify none.
    pub(crate) default_deadline_ms: u64,
    /// Whether a request may run more than once if it doesn't specify this.
    pub(crate) repeatable: bool,
    /// Memory of a task that specifies none.
    pub(crate) memory_mb: u32,
    /// Accelerators of a task that specifies none.
    pub(crate) accelerators: u16,
    /// Maximum number of tasks in one job.
    pub(crate) max_tasks: usize,
}

/// Whether tasks may start in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneState {
    Open,
    /// Out of service: no task may start.
    Out,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Zone {
    pub(crate) region: String,
    pub(crate) state: ZoneState,
}

/// The quota of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Quota {
    /// Maximum number of slots in use at a time.
    pub(crate) slots: u32,
}

/// The complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Document {
    /// Section `capacity`: workers by name.
    pub(crate) workers: BTreeMap<String, Worker>,
    /// Section `services`: services by name.
    pub(crate) services: BTreeMap<String, Service>,
    /// Section `zones`: availability zones by name.
    pub(crate) zones: BTreeMap<String, Zone>,
    /// Section `quotas`: quotas by team.
    pub(crate) quotas: BTreeMap<String, Quota>,
}

impl Document {
    /// Whether tasks may start in the availability zone.
    pub(crate) fn zone_is_open(&self, availability_zone: &str) -> bool {
        self.zones
            .get(availability_zone)
            .is_some_and(|zone| zone.state == ZoneState::Open)
    }

    /// Whether tasks may start at the worker: it is declared in this zone, and the zone is open.
    pub(crate) fn worker_is_open(&self, worker: &str, availability_zone: &str) -> bool {
        let declared = self
            .workers
            .get(worker)
            .is_some_and(|worker| worker.availability_zone == availability_zone);
        declared && self.zone_is_open(availability_zone)
    }

    /// The availability zones in which tasks may start.
    pub(crate) fn open_zones(&self) -> impl Iterator<Item = &String> {
        self.zones
            .iter()
            .filter(|(_, zone)| zone.state == ZoneState::Open)
            .map(|(name, _)| name)
    }

    /// The total slots of all declared workers.
    pub(crate) fn declared_slots(&self) -> u64 {
        self.workers
            .values()
            .map(|worker| u64::from(worker.slots))
            .sum()
    }

    /// Returns a document that contains only the given section.
    pub(crate) fn only_section(&self, section: &str) -> Self {
        let mut document = Self::default();
        match section {
            "capacity" => document.workers = self.workers.clone(),
            "services" => document.services = self.services.clone(),
            "zones" => document.zones = self.zones.clone(),
            "quotas" => document.quotas = self.quotas.clone(),
            _ => {}
        }
        document
    }
}
