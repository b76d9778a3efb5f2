//! Checks that the operators' page documents every metric, and a fake of a port.

mod entry_list_store;

pub(crate) use entry_list_store::EntryListStore;

use super::{Counter, Gauge};

const OPERATING_PAGE: &str = include_str!("../../../docs/OPERATING.md");

#[test]
fn operating_page_lists_every_metric() {
    let counters = Counter::ALL
        .iter()
        .map(|counter| format!("`{}_total`", counter.as_str().replace('.', "_")));
    let gauges = Gauge::ALL
        .iter()
        .map(|gauge| format!("`{}`", gauge.as_str().replace('.', "_")));
    let missing: Vec<String> = counters
        .chain(gauges)
        .filter(|name| !OPERATING_PAGE.contains(name))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
