//! Log events of the process as a whole.

use serde::Serialize;

/// One JSON log event of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ProcessLogEvent {
    /// The process started serving.
    Started {
        /// Version of the program.
        version: &'static str,
        /// Availability zone of the process.
        availability_zone: String,
    },
    /// The process received a stop signal.
    Stopping {
        /// Unfinished jobs or runs.
        open: usize,
        /// Time until the process is killed.
        grace_ms: u64,
    },
    /// The process exits.
    Stopped {
        /// Jobs or runs left unfinished.
        open: usize,
    },
    /// The process received a reload signal.
    Reloaded {
        /// Result of the reload.
        outcome: &'static str,
    },
    /// A client's request was rejected before it became a job.
    CallRefused {
        /// Method, host and path of the request.
        call: String,
        /// Reason of the rejection.
        reason: &'static str,
        /// Version of the configuration in force; zero before the first.
        config_version: u64,
    },
    /// Calls to the store began to fail.
    StoreLost {
        /// Kind of call.
        call: &'static str,
        /// Error of the first failed call.
        cause: String,
    },
    /// Calls to the store succeed again.
    StoreRegained {
        /// Kind of call.
        call: &'static str,
        /// Duration of the outage.
        away_ms: u64,
        /// Number of calls that failed.
        failed_calls: u64,
    },
    /// A new configuration is in force.
    ConfigInForce {
        /// Version of the configuration.
        version: u64,
        /// Version of the document's row.
        revision: u64,
        /// Number of routes.
        routes: usize,
        /// Number of services.
        services: usize,
        /// `store` or `agent`.
        source: &'static str,
    },
    /// The operators' rows were read from the store.
    NewsRead {
        /// Store version of the read.
        store_version: u64,
        /// Version of the document's row; zero if there is none.
        revision: u64,
        /// Duration of the read.
        took_ms: u64,
        /// Length of the operators' document; zero if there is none.
        document_bytes: usize,
    },
    /// A version older than the known one was ignored.
    NewsLeftAside {
        /// `news`, `document` or `config`.
        what: &'static str,
        /// Ignored version: of the store, of the document's row, or of the configuration.
        version: u64,
        /// Known version.
        known_version: u64,
        /// `store` or `agent`.
        source: &'static str,
    },
    /// A configuration is invalid; the previous one stays in force.
    ConfigUnreadable {
        /// Parse error.
        cause: String,
    },
}
