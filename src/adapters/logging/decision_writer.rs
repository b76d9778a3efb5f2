//! Writes decisions to standard output as JSON lines, within a budget.

use {
    super::line_writer::LineWriter,
    crate::ports::{DecisionLog, LogPriority},
    serde_json::{Map, Value, json},
    std::{
        io,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Formats decisions and queues them for a thread that writes them.
#[derive(Debug)]
pub(crate) struct DecisionWriter {
    process: String,
    lines: LineWriter,
}

impl DecisionWriter {
    /// Starts the thread; `process` is a field of every line.
    pub(crate) fn start(process: &str) -> io::Result<Self> {
        Ok(Self {
            process: process.to_owned(),
            lines: LineWriter::start("decisions", io::stdout())?,
        })
    }

    fn format_line(&self, fields: Value) -> String {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut line = Map::new();
        line.insert(
            "at_unix_ms".to_owned(),
            json!(since_epoch.as_millis() as u64),
        );
        line.insert("process".to_owned(), json!(self.process));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        text
    }
}

fn event_name(fields: &Value) -> String {
    let name = fields.get("event").and_then(Value::as_str);
    name.unwrap_or("unnamed").to_owned()
}

impl DecisionLog for DecisionWriter {
    fn write(&self, priority: LogPriority, fields: Value) {
        let event = event_name(&fields);
        let line = self.format_line(fields);
        self.lines.write(&event, priority, line, |dropped| {
            self.format_line(json!({"event": "lines_dropped", "by_event": dropped}))
        });
    }
}
