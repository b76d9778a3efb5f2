//! What befalls a process as a whole, for the log.

use serde::Serialize;

/// One event of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ProcessLogEvent {
    /// It has begun to serve.
    Started {
        /// Its version.
        version: &'static str,
        /// Its availability zone.
        availability_zone: String,
    },
    /// It was told to end.
    Stopping {
        /// Jobs or runs that are under way.
        open: usize,
        /// Time until it is killed.
        grace_ms: u64,
    },
    /// It ends.
    Stopped {
        /// Jobs or runs that were still under way.
        open: usize,
    },
    /// Its settings file was named as changed.
    Reloaded {
        /// What was made of it.
        outcome: &'static str,
    },
    /// A client's call was turned away at the door.
    CallRefused {
        /// What it named: method, host and path.
        call: String,
        /// Why.
        reason: &'static str,
        /// Version of the configuration that decided it; zero before the first.
        config_version: u64,
    },
    /// The store does not answer.
    StoreLost {
        /// What was asked.
        call: &'static str,
        /// Why.
        cause: String,
    },
    /// The store answers again.
    StoreRegained {
        /// What was asked.
        call: &'static str,
        /// For how long it did not.
        away_ms: u64,
    },
    /// Another configuration is in force.
    ConfigInForce {
        /// Its version.
        version: u64,
        /// Version of the document's row.
        revision: u64,
        /// Its routes.
        routes: usize,
        /// Its services.
        services: usize,
        /// Where it came from.
        source: &'static str,
    },
    /// What operators have set was read from the store.
    NewsRead {
        /// Version of the store at which it was read.
        store_version: u64,
        /// Version of the document's row; zero without one.
        revision: u64,
        /// For how long it was read.
        took_ms: u64,
        /// Length of the operators' document; zero without one.
        document_bytes: usize,
    },
    /// Something older than what is known was left aside.
    NewsLeftAside {
        /// What: `news`, `document` or `config`.
        what: &'static str,
        /// Its version: of the store, of the document's row, or the document's own.
        version: u64,
        /// The version that is known.
        known_version: u64,
        /// Where it came from.
        source: &'static str,
    },
    /// A configuration can't be read; the one before stays in force.
    ConfigUnreadable {
        /// Why.
        cause: String,
    },
}
