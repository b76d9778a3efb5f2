//! The configuration as the system uses it.

use std::collections::BTreeMap;

/// The document's sections, each owned by another team.
pub(crate) const SECTIONS: [&str; 4] = ["capacity", "services", "zones", "quotas"];

/// A worker, present or declared ahead of its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Worker {
    /// The availability zone that it stands in.
    pub(crate) availability_zone: String,
    /// The rack that it shares power and switch with.
    pub(crate) rack: String,
    /// Tasks that it runs at a time.
    pub(crate) slots: u16,
    /// Memory for tasks.
    pub(crate) memory_mb: u32,
    /// Accelerators for tasks.
    pub(crate) accelerators: u16,
    /// Whether it stands in its rack; one that doesn't counts as declared, not as present.
    pub(crate) arrived: bool,
}

/// A service that clients submit to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Service {
    /// Where it may run.
    pub(crate) availability_zones: Vec<String>,
    /// Deadline of requests that name none.
    pub(crate) default_deadline_ms: u64,
    /// Whether its requests may run more than once unless they say otherwise.
    pub(crate) repeatable: bool,
    /// Memory of a task that declares none.
    pub(crate) memory_mb: u32,
    /// Accelerators of a task that declares none.
    pub(crate) accelerators: u16,
    /// Most tasks of one job.
    pub(crate) max_tasks: usize,
}

/// Whether tasks may start in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneState {
    /// Tasks may start.
    Open,
    /// No task may start.
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Zone {
    /// The region that it belongs to.
    pub(crate) region: String,
    /// Whether tasks may start there.
    pub(crate) state: ZoneState,
}

/// What a team may draw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Quota {
    /// Slots that the team may hold at a time.
    pub(crate) slots: u32,
}

/// The whole configuration.
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
    /// Whether tasks may start in this availability zone.
    pub(crate) fn zone_is_open(&self, availability_zone: &str) -> bool {
        self.zones
            .get(availability_zone)
            .is_some_and(|zone| zone.state == ZoneState::Open)
    }

    /// Whether tasks may start at this worker: it is declared in this zone, and the zone is open.
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

    /// The slots of all declared workers.
    pub(crate) fn declared_slots(&self) -> u64 {
        self.workers
            .values()
            .map(|worker| u64::from(worker.slots))
            .sum()
    }

    /// This document with one section alone.
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
