//! Tests of which operators' rows an entry applies.

use {
    super::fakes::{NoopDecisionLog, NoopMetrics},
    crate::{
        adapters::timer::BootTimer,
        core::{document::Document, link::EvacuatedZones},
        ports::{EntryListStore, OperatorRows},
        site_entry::{operator_rows_watcher::OperatorRowsWatcher, state::EntryState},
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc,
};

/// Operators' rows at one store version, with a configuration of the given version or without one.
fn operator_rows(version: u64, config_version: Option<u64>) -> OperatorRows {
    let text = config_version.map(|version| format!(r#"{{"version":{version}}}"#));
    OperatorRows {
        zones: EvacuatedZones {
            version,
            evacuated: BTreeSet::new(),
        },
        document: text.map(|text| Document {
            revision: version,
            text: Arc::from(text.into_bytes()),
        }),
    }
}

/// Applies the reads in order; returns the version of the configuration then in force.
fn in_force_after(reads: &[OperatorRows]) -> Option<u64> {
    let state = Arc::new(EntryState::default());
    let (inputs, _input_receiver) = mpsc::unbounded_channel();
    let watcher = OperatorRowsWatcher {
        store: Arc::new(EntryListStore::default()),
        timer: Arc::new(BootTimer),
        state: Arc::clone(&state),
        inputs,
        decisions: Arc::new(NoopDecisionLog),
        metrics: Arc::new(NoopMetrics),
        known: Mutex::default(),
    };
    for rows in reads {
        watcher.apply_zones(rows.zones.clone(), "test");
        if let Some(document) = rows.document.clone() {
            watcher.apply_document(document, "test");
        }
    }
    state.config().map(|config| config.version)
}

macro_rules! config_cases {
    ($($(#[$doc:meta])* $name:ident: $reads:expr => $version:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(in_force_after(&$reads), $version);
            }
        )+
    };
}

config_cases! {
    a_newer_document_is_applied: [operator_rows(5, Some(3)), operator_rows(6, Some(7))] => Some(7);
    older_rows_are_ignored: [operator_rows(6, Some(7)), operator_rows(5, Some(3))] => Some(7);
    an_older_config_at_a_newer_store_version_is_ignored: [operator_rows(5, Some(7)), operator_rows(6, Some(3))] => Some(7);
    /// An agent may report a store version without the document; the later read of the document at
    /// that version must not be ignored, or clients get 404 on new routes.
    a_document_is_applied_although_its_store_version_is_known:
        [operator_rows(8, Some(14)), operator_rows(9, None), operator_rows(9, Some(17))] => Some(17);
}
