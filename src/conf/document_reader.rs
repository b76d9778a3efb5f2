//! Reads and checks the configuration document.

use {
    super::{Fault, TableReader},
    crate::core::{
        config::{Document, Quota, Service, Worker, Zone, ZoneState},
        job::MAX_TASKS,
    },
    std::collections::BTreeMap,
};

/// Reads a document; every fault is reported at once.
pub(crate) fn read_document(text: &str) -> Result<Document, Vec<Fault>> {
    TableReader::read_text(text, |root| {
        let zones = root.table("zones", |table| named(table, read_zone));
        let workers = root.table("capacity", |capacity| {
            capacity.table("workers", |table| {
                named(table, |worker| read_worker(worker, &zones))
            })
        });
        let services = root.table("services", |table| {
            named(table, |service| read_service(service, &zones, &workers))
        });
        let quotas = root.table("quotas", |table| named(table, read_quota));
        if zones.is_empty() {
            root.fault("zones", "must have at least one availability zone");
        }
        Document {
            workers,
            services,
            zones,
            quotas,
        }
    })
}

/// Reads each table within `table` as a named thing.
fn named<T>(
    table: &mut TableReader<'_>,
    mut read: impl FnMut(&mut TableReader<'_>) -> T,
) -> BTreeMap<String, T> {
    table
        .keys()
        .into_iter()
        .map(|name| {
            let value = table.table(&name, &mut read);
            (name, value)
        })
        .collect()
}

fn read_zone(zone: &mut TableReader<'_>) -> Zone {
    Zone {
        region: zone.name("region"),
        state: zone.choice(
            "state",
            &[("open", ZoneState::Open), ("out", ZoneState::Out)],
            ZoneState::Open,
        ),
    }
}

fn read_worker(worker: &mut TableReader<'_>, zones: &BTreeMap<String, Zone>) -> Worker {
    let availability_zone = worker.name("availability_zone");
    if !availability_zone.is_empty() && !zones.contains_key(&availability_zone) {
        let message = format!("no availability zone is named \"{availability_zone}\"");
        worker.fault("availability_zone", message);
    }
    Worker {
        availability_zone,
        rack: worker.name("rack"),
        slots: worker.number("slots", 1..=1_024, None),
        memory_mb: worker.number("memory_mb", 1..=16_777_216, None),
        accelerators: worker.number("accelerators", 0..=1_024, Some(0)),
    }
}

fn read_service(
    service: &mut TableReader<'_>,
    zones: &BTreeMap<String, Zone>,
    workers: &BTreeMap<String, Worker>,
) -> Service {
    let availability_zones = service.strings("availability_zones");
    if availability_zones.is_empty() {
        service.fault("availability_zones", "must name at least one");
    }
    for zone in &availability_zones {
        if !zones.contains_key(zone) {
            let message = format!("no availability zone is named \"{zone}\"");
            service.fault("availability_zones", message);
        }
    }
    let read = Service {
        availability_zones,
        default_deadline_ms: service.number("default_deadline_ms", 10..=120_000, Some(10_000)),
        repeatable: service.boolean("repeatable", false),
        memory_mb: service.number("memory_mb", 0..=16_777_216, Some(0)),
        accelerators: service.number("accelerators", 0..=1_024, Some(0)),
        max_tasks: service.number("max_tasks", 1..=200, Some(MAX_TASKS as i64)) as usize,
    };
    let fits = workers.values().any(|worker| {
        read.availability_zones.contains(&worker.availability_zone)
            && worker.memory_mb >= read.memory_mb
            && worker.accelerators >= read.accelerators
    });
    if !fits {
        service.fault(
            "availability_zones",
            "no worker of these availability zones could ever run this service",
        );
    }
    read
}

fn read_quota(quota: &mut TableReader<'_>) -> Quota {
    Quota {
        slots: quota.number("slots", 0..=1_000_000, None),
    }
}
