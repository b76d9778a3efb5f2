//! Writes log messages without blocking the thread that logs them.

use {
    super::line_writer::LineWriter,
    crate::ports::LogPriority,
    logforth::{
        Append, Diagnostic, Error, Layout,
        record::{Level, Record},
    },
    std::io::{self, Write},
};

/// Formats messages and queues them for a thread that writes them.
#[derive(Debug)]
pub(super) struct MessageWriter {
    layout: Box<dyn Layout>,
    lines: LineWriter,
}

impl MessageWriter {
    pub(super) fn start(
        layout: impl Into<Box<dyn Layout>>,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        Ok(Self {
            layout: layout.into(),
            lines: LineWriter::start("messages", output)?,
        })
    }
}

impl Append for MessageWriter {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let text = self.layout.format(record, diagnostics)?;
        let mut line = String::from_utf8_lossy(&text).into_owned();
        line.push('\n');
        let level = record.level();
        let priority = if level >= Level::Warn {
            LogPriority::Notable
        } else {
            LogPriority::Routine
        };
        self.lines
            .write(&level.to_string(), priority, line, |dropped| {
                format!("dropped messages by level: {dropped:?}\n")
            });
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.lines.flush();
        Ok(())
    }
}
