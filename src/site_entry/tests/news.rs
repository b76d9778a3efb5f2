//! Tests of which news an entry goes by.

use {
    super::fakes::{NoLines, NoMetrics, NoStore},
    crate::{
        core::{document::Document, link::EvacuatedZones},
        ports::OperatorRows,
        site_entry::{operator_rows_watcher::OperatorRowsWatcher, state::EntryState},
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
    },
    tokio::sync::mpsc,
};

/// What is told at one version of the store, with a configuration of this version or without one.
fn news(version: u64, config_version: Option<u64>) -> OperatorRows {
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

/// Takes these in turn; the version of the configuration that is then in force.
fn in_force_after(taken: &[OperatorRows]) -> Option<u64> {
    let state = Arc::new(EntryState::default());
    let (inputs, _kept) = mpsc::unbounded_channel();
    let keeper = OperatorRowsWatcher {
        store: Arc::new(NoStore),
        state: Arc::clone(&state),
        inputs,
        decisions: Arc::new(NoLines),
        metrics: Arc::new(NoMetrics),
        known: Mutex::default(),
    };
    for rows in taken {
        keeper.take_news(rows.zones.clone(), "test");
        if let Some(document) = rows.document.clone() {
            keeper.take_document(document, "test");
        }
    }
    state.config().map(|config| config.version)
}

macro_rules! news_cases {
    ($($(#[$doc:meta])* $name:ident: $taken:expr => $version:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(in_force_after(&$taken), $version);
            }
        )+
    };
}

news_cases! {
    newer_news_go_in_force: [news(5, Some(3)), news(6, Some(7))] => Some(7);
    older_news_change_nothing: [news(6, Some(7)), news(5, Some(3))] => Some(7);
    an_older_document_in_newer_news_changes_nothing: [news(5, Some(7)), news(6, Some(3))] => Some(7);
    /// A client gets 404 on a route that was added three seconds ago. The store had turned this entry
    /// away; an agent told it of the change without the document; when the store answered again,
    /// the document came with the version that was known already and was left aside.
    the_document_is_taken_after_the_same_news_without_it:
        [news(8, Some(14)), news(9, None), news(9, Some(17))] => Some(17);
}
