//! Structured logs through logforth.

mod init;

pub(crate) use init::init_logging;
