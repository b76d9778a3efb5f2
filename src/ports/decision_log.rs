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
    fn write(&self, rank: LogPriority, fields: serde_json::Value);
}

/// Writes a decision down.
pub(crate) fn log_decision<N: Serialize>(log: &dyn DecisionLog, rank: LogPriority, decision: &N) {
    match serde_json::to_value(decision) {
        Ok(fields) => log.write(rank, fields),
        Err(error) => log::warn!(error:% = error; "a decision can't be written down"),
    }
}
