//! Differences between two documents, described for operators.

use {
    super::{Document, Quota, Service, Worker, Zone, ZoneState},
    serde::Serialize,
    std::collections::BTreeMap,
};

/// One item that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Difference {
    /// The section of the item.
    pub(crate) section: &'static str,
    /// The name of the worker, service, availability zone or team.
    pub(crate) name: String,
    /// The description, such as "availability zone keflavik: open -> out".
    pub(crate) words: String,
}

/// A named item of the document.
trait DocumentItem {
    /// The section that holds items of this type.
    const SECTION: &'static str;
    /// The operators' name for the type of item.
    const KIND: &'static str;

    /// Describes an added item.
    fn summary(&self) -> String;

    /// Returns names and values of the fields; the main field has an empty name.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

impl Document {
    /// Returns what changes when `other` replaces this document.
    pub(crate) fn differences(&self, other: &Self) -> Vec<Difference> {
        let mut differences = compare(&self.workers, &other.workers);
        differences.extend(compare(&self.services, &other.services));
        differences.extend(compare(&self.zones, &other.zones));
        differences.extend(compare(&self.quotas, &other.quotas));
        differences
    }
}

fn compare<T: DocumentItem>(
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
) -> Vec<Difference> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter_map(|name| {
            let words = describe(name, before.get(name), after.get(name))?;
            Some(Difference {
                section: T::SECTION,
                name: name.clone(),
                words,
            })
        })
        .collect()
}

fn describe<T: DocumentItem>(name: &str, before: Option<&T>, after: Option<&T>) -> Option<String> {
    let kind = T::KIND;
    match (before, after) {
        (None, None) => None,
        (None, Some(after)) => Some(format!("{kind} {name} added: {}", after.summary())),
        (Some(_), None) => Some(format!("{kind} {name} removed")),
        (Some(before), Some(after)) => {
            let changes = changed_fields(before, after);
            (!changes.is_empty()).then(|| format!("{kind} {name}: {}", changes.join(", ")))
        }
    }
}

fn changed_fields<T: DocumentItem>(before: &T, after: &T) -> Vec<String> {
    before
        .fields()
        .into_iter()
        .zip(after.fields())
        .filter(|((_, old), (_, new))| old != new)
        .map(|((field, old), (_, new))| {
            if field.is_empty() {
                return format!("{old} -> {new}");
            }
            format!("{field} {old} -> {new}")
        })
        .collect()
}

impl DocumentItem for Worker {
    const SECTION: &'static str = "capacity";
    const KIND: &'static str = "worker";

    fn summary(&self) -> String {
        let mut summary = format!(
            "{} slots, rack {}, availability zone {}, {} MB",
            self.slots, self.rack, self.availability_zone, self.memory_mb
        );
        if self.accelerators > 0 {
            summary.push_str(&format!(", {} accelerators", self.accelerators));
        }
        if !self.arrived {
            summary.push_str(", not arrived");
        }
        summary
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let arrived = if self.arrived {
            "arrived"
        } else {
            "not arrived"
        };
        vec![
            ("", arrived.to_owned()),
            ("slots", self.slots.to_string()),
            ("rack", self.rack.clone()),
            ("availability zone", self.availability_zone.clone()),
            ("memory MB", self.memory_mb.to_string()),
            ("accelerators", self.accelerators.to_string()),
        ]
    }
}

impl DocumentItem for Service {
    const SECTION: &'static str = "services";
    const KIND: &'static str = "service";

    fn summary(&self) -> String {
        format!(
            "in {}, deadline {} ms, {}, at most {} tasks",
            self.availability_zones.join(", "),
            self.default_deadline_ms,
            repeatable(self),
            self.max_tasks
        )
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let zones = format!("[{}]", self.availability_zones.join(", "));
        vec![
            ("", repeatable(self).to_owned()),
            ("availability zones", zones),
            ("deadline ms", self.default_deadline_ms.to_string()),
            ("memory MB", self.memory_mb.to_string()),
            ("accelerators", self.accelerators.to_string()),
            ("most tasks", self.max_tasks.to_string()),
        ]
    }
}

const fn repeatable(service: &Service) -> &'static str {
    if service.repeatable {
        "repeatable"
    } else {
        "not repeatable"
    }
}

impl DocumentItem for Zone {
    const SECTION: &'static str = "zones";
    const KIND: &'static str = "availability zone";

    fn summary(&self) -> String {
        format!("{}, region {}", self.state.as_str(), self.region)
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![
            ("", self.state.as_str().to_owned()),
            ("region", self.region.clone()),
        ]
    }
}

impl ZoneState {
    /// The name in the document and in messages to operators.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Out => "out",
        }
    }
}

impl DocumentItem for Quota {
    const SECTION: &'static str = "quotas";
    const KIND: &'static str = "quota of team";

    fn summary(&self) -> String {
        format!("{} slots", self.slots)
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![("slots", self.slots.to_string())]
    }
}
