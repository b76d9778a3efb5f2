//! Writes decisions to standard output as JSON lines, within a budget.

use {
    super::line_budget::LineBudget,
    crate::ports::{DecisionLog, LogPriority},
    serde_json::{Map, Value, json},
    std::{
        io::{self, Write},
        sync::{
            Mutex, PoisonError,
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Maximum number of lines queued for a slow reader of standard output.
const MAX_QUEUED_LINES: usize = 1_024;

/// Queues lines for a thread that writes them.
///
/// Only that thread blocks on a slow reader; lines that don't fit into the queue are counted and dropped.
#[derive(Debug)]
pub(crate) struct DecisionWriter {
    process: String,
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    started_at: Instant,
}

impl DecisionWriter {
    /// Starts the thread; `process` is a field of every line.
    pub(crate) fn start(process: &str) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("decisions".to_owned())
            .spawn(move || write_lines(&queue))?;
        Ok(Self {
            process: process.to_owned(),
            lines,
            budget: Mutex::new(LineBudget::default()),
            started_at: Instant::now(),
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
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let event = event_name(&fields);
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(dropped) = budget.drain_dropped(now_ms) {
            let notice = self.format_line(json!({"event": "lines_dropped", "by_event": dropped}));
            if self.lines.try_send(notice).is_err() {
                budget.record_dropped("lines_dropped");
            }
        }
        let line = self.format_line(fields);
        let fits = budget.try_consume(now_ms, priority, line.len());
        if !fits || self.lines.try_send(line).is_err() {
            budget.record_dropped(&event);
        }
    }
}

/// Writes all queued lines with one call.
fn write_lines(queue: &Receiver<String>) {
    let mut output = io::stdout().lock();
    while let Ok(mut text) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            text.push_str(&line);
        }
        // Standard output is closed; the lines are dropped.
        if output.write_all(text.as_bytes()).is_err() || output.flush().is_err() {
            return;
        }
    }
}
