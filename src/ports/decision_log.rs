//! Log of decisions as JSON lines.

use {serde::Serialize, std::fmt::Debug};

/// Determines which lines are dropped first when the log exceeds its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LogPriority {
    /// Normal operation.
    Routine,
    /// A failure or a change of state.
    Notable,
}

/// Accepts log lines without blocking.
pub(crate) trait DecisionLog: Debug + Send + Sync {
    /// Queues one line; `fields` is a JSON object.
    fn write(&self, priority: LogPriority, fields: serde_json::Value);
}

/// Serializes an event and writes it to the log.
pub(crate) fn log_decision<E: Serialize>(log: &dyn DecisionLog, priority: LogPriority, event: &E) {
    match serde_json::to_value(event) {
        Ok(fields) => log.write(priority, fields),
        Err(error) => log::warn!(error:% = error; "failed to serialize a log event"),
    }
}
