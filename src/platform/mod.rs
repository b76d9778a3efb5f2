//! The users' platform: its names, formats and calls, translated to the project's own types.
//!
//! Nothing in this folder decides, and nothing outside it knows the platform's names.

mod client_calls;
mod config_document;
mod errors;
mod job_body;
mod json;
mod platform_caller;
mod rows_store;
mod worker_calls;
mod worker_reports;

#[cfg(test)]
mod tests;

pub(crate) use {
    client_calls::{ClientAction, PlatformClients},
    config_document::read_config,
    errors::PlatformError,
    platform_caller::PlatformCaller,
    rows_store::RowsStore,
    worker_calls::HttpWorker,
    worker_reports::{WorkerReport, read_worker_word},
};
