//! Parsing and validation of the configuration document.

use {
    super::{DocumentRules, Fault, TableReader},
    crate::core::{
        config::{Document, Quota, SECTIONS, Service, Worker, Zone, ZoneState},
        job::MAX_TASKS,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Reads a document and applies all rules; returns all faults, not only the first.
pub(crate) fn read_document(text: &str) -> Result<Document, Vec<Fault>> {
    read_document_with(text, &DocumentRules::Complete)
}

/// Reads a document and applies the given rules; returns all faults, not only the first.
pub(crate) fn read_document_with(
    text: &str,
    rules: &DocumentRules,
) -> Result<Document, Vec<Fault>> {
    TableReader::read_text(text, |root| {
        for section in SECTIONS {
            root.require_header(section);
        }
        let zones = root.table("zones", |table| read_named_tables(table, read_zone));
        let workers = root.table("capacity", |capacity| {
            capacity.table("workers", |table| read_named_tables(table, read_worker))
        });
        let services = root.table("services", |table| read_named_tables(table, read_service));
        let quotas = root.table("quotas", |table| read_named_tables(table, read_quota));
        let document = Document {
            workers,
            services,
            zones,
            quotas,
        };
        if rules.checks_across_sections() {
            check_across_sections(root, &document);
        }
        if let DocumentRules::Change { open_now } = rules {
            check_last_zone(root, &document, open_now);
        }
        document
    })
}

/// Reads each subtable of `table` as a value with the subtable's name as its key.
fn read_named_tables<T>(
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

fn read_worker(worker: &mut TableReader<'_>) -> Worker {
    Worker {
        availability_zone: worker.name("availability_zone"),
        rack: worker.name("rack"),
        slots: worker.number("slots", 1..=1_024, None),
        memory_mb: worker.number("memory_mb", 1..=16_777_216, None),
        accelerators: worker.number("accelerators", 0..=1_024, Some(0)),
        arrived: worker.boolean("arrived", true),
    }
}

fn read_service(service: &mut TableReader<'_>) -> Service {
    let availability_zones = service.strings("availability_zones");
    if availability_zones.is_empty() {
        service.report_fault("availability_zones", "must name at least one");
    }
    Service {
        availability_zones,
        default_deadline_ms: service.number("default_deadline_ms", 10..=120_000, Some(10_000)),
        repeatable: service.boolean("repeatable", false),
        memory_mb: service.number("memory_mb", 0..=16_777_216, Some(0)),
        accelerators: service.number("accelerators", 0..=1_024, Some(0)),
        max_tasks: service.number("max_tasks", 1..=200, Some(MAX_TASKS as i64)) as usize,
    }
}

fn read_quota(quota: &mut TableReader<'_>) -> Quota {
    Quota {
        slots: quota.number("slots", 0..=1_000_000, None),
    }
}

/// Checks references between sections and limits that depend on several of them.
fn check_across_sections(root: &TableReader<'_>, document: &Document) {
    if document.zones.is_empty() {
        root.report_fault("zones", "must have at least one availability zone");
    }
    for (name, worker) in &document.workers {
        let zone = &worker.availability_zone;
        if !zone.is_empty() {
            check_zone(root, document, &["capacity", "workers", name], zone);
        }
    }
    for (name, service) in &document.services {
        for zone in &service.availability_zones {
            check_zone(root, document, &["services", name], zone);
        }
        check_runnable(root, document, name, service);
    }
    for (name, quota) in &document.quotas {
        check_quota(root, document, name, quota);
    }
}

fn check_zone(root: &TableReader<'_>, document: &Document, table: &[&str], zone: &str) {
    if document.zones.contains_key(zone) {
        return;
    }
    let field = match table {
        ["services", ..] => "availability_zones",
        _ => "availability_zone",
    };
    let path: Vec<&str> = table.iter().copied().chain([field]).collect();
    root.report_fault_at(&path, format!("no availability zone is named \"{zone}\""));
}

/// A service must fit at least one declared worker, whether or not that worker has arrived.
fn check_runnable(root: &TableReader<'_>, document: &Document, name: &str, service: &Service) {
    let runnable = document.workers.values().any(|worker| {
        service
            .availability_zones
            .contains(&worker.availability_zone)
            && worker.memory_mb >= service.memory_mb
            && worker.accelerators >= service.accelerators
    });
    if !runnable {
        root.report_fault_at(
            &["services", name, "availability_zones"],
            "no worker of these availability zones could ever run this service",
        );
    }
}

fn check_quota(root: &TableReader<'_>, document: &Document, name: &str, quota: &Quota) {
    let declared = document.declared_slots();
    if u64::from(quota.slots) > declared {
        let message = format!("is above the {declared} slots of all declared workers");
        root.report_fault_at(&["quotas", name, "slots"], message);
    }
}

/// Rejects a change that closes the last open availability zone: no task could start any more.
fn check_last_zone(root: &TableReader<'_>, document: &Document, open_now: &BTreeSet<String>) {
    if open_now.is_empty() || document.open_zones().next().is_some() {
        return;
    }
    for zone in open_now {
        root.report_fault_at(
            &["zones", zone, "state"],
            "closes the last open availability zone; say so with --close-last-zone",
        );
    }
}
