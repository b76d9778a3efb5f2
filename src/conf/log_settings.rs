//! Settings of the process log.

use super::TableReader;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The `[log]` table of each settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogSettings {
    /// Format of log lines.
    pub(crate) format: LogFormat,
    /// Least severe level written: error, warn, info, debug or trace.
    pub(crate) level: String,
}

impl LogSettings {
    /// Reads the table.
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let levels = ["error", "warn", "info", "debug", "trace"].map(|level| (level, level));
        Self {
            format: reader.choice(
                "format",
                &[("text", LogFormat::Text), ("json", LogFormat::Json)],
                LogFormat::Text,
            ),
            level: reader.choice("level", &levels, "info").to_owned(),
        }
    }
}
