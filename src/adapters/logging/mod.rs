//! Structured logs: messages with logforth, decisions as JSON lines on standard output.

mod decision_writer;
mod init;
mod line_budget;
mod line_writer;
mod message_writer;

#[cfg(test)]
mod tests;

pub(crate) use {decision_writer::DecisionWriter, init::init_logging};
