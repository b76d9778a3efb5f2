//! Where decisions are written down.

use {serde::Serialize, std::fmt::Debug};

/// How soon a line may be dropped when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LogPriority {
    /// The usual course of things.
    Routine,
    /// Something failed, or the process believes something else from now on.
    Notable,
}

/// Takes lines in without ever waiting.
pub(crate) trait DecisionLog: Debug + Send + Sync {
    /// Takes the fields of one line, a JSON object.
    fn write(&self, priority: LogPriority, fields: serde_json::Value);
}

/// Writes a decision down.
pub(crate) fn log_decision<E: Serialize>(log: &dyn DecisionLog, priority: LogPriority, event: &E) {
    match serde_json::to_value(event) {
        Ok(fields) => log.write(priority, fields),
        Err(error) => log::warn!(error:% = error; "a decision can't be written down"),
    }
}
