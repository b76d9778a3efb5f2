//! `rattanslip explain`: the log lines of one request in order of time.

use {
    crate::cli::RunError,
    serde_json::{Map, Value},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Shortest gap between two lines that is shown, in milliseconds.
const MIN_SHOWN_GAP_MS: u64 = 500;
/// Fields that are not printed after the first columns: they are shown there, or the request implies them.
const COLUMN_FIELDS: [&str; 4] = ["at_unix_ms", "process", "event", "job"];
/// Events that determine the outcome of a request.
const DECISIVE_EVENTS: [&str; 7] = [
    "job_refused",
    "job_answered",
    "job_isolated",
    "run_lost",
    "run_overdue",
    "worker_crashed",
    "call_refused",
];

/// A JSON line of the decision log.
#[derive(Debug)]
struct DecisionLine {
    at_unix_ms: u64,
    process: String,
    event: String,
    fields: Map<String, Value>,
}

/// Prints the lines that contain the ID in order of time and marks gaps and decisive events.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<(), RunError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_matching_lines(id, file)?);
    }
    if lines.is_empty() {
        return Err(RunError::Failed(format!("no log line contains {id}")));
    }
    lines.sort_by_key(|line| line.at_unix_ms);
    print!("{}", format_timeline(&lines));
    Ok(())
}

fn read_matching_lines(id: &str, file: &Path) -> Result<Vec<DecisionLine>, RunError> {
    let text = fs::read_to_string(file)
        .map_err(|error| RunError::Usage(format!("{}: {error}", file.display())))?;
    let lines = text.lines().filter(|line| line.contains(id));
    Ok(lines.filter_map(parse_line).collect())
}

/// Parses a line; `None` for other output of the process.
fn parse_line(line: &str) -> Option<DecisionLine> {
    let fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let text = |field: &str| Some(fields.get(field)?.as_str()?.to_owned());
    Some(DecisionLine {
        at_unix_ms: fields.get("at_unix_ms")?.as_u64()?,
        process: text("process")?,
        event: text("event")?,
        fields,
    })
}

fn format_timeline(lines: &[DecisionLine]) -> String {
    let mut text = String::new();
    let first_ms = lines.first().map_or(0, |line| line.at_unix_ms);
    let mut before_ms = first_ms;
    for line in lines {
        let gap_ms = line.at_unix_ms.saturating_sub(before_ms);
        if gap_ms >= MIN_SHOWN_GAP_MS {
            text.push_str(&format!("          ... {gap_ms} ms\n"));
        }
        before_ms = line.at_unix_ms;
        let mark = if DECISIVE_EVENTS.contains(&line.event.as_str()) {
            '*'
        } else {
            ' '
        };
        let after_ms = line.at_unix_ms.saturating_sub(first_ms);
        let fields = line
            .fields
            .iter()
            .filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let fields = fields.join(" ");
        text.push_str(&format!(
            "{mark} {after_ms:>7} ms  {:<16} {:<18} {fields}\n",
            line.process, line.event
        ));
    }
    text
}

#[cfg(test)]
pub(super) fn timeline_from_log(id: &str, log: &str) -> String {
    let lines = log.lines().filter(|line| line.contains(id));
    let lines: Vec<DecisionLine> = lines.filter_map(parse_line).collect();
    format_timeline(&lines)
}
