//! Adapter for the platform of a site: translates its names, formats and calls to the project's types.
//! The store of a standalone deployment is in `adapters::platform`.
//!
//! This module contains no decision logic, and no other module depends on the platform's names.

mod client_protocol;
mod config_document;
mod errors;
mod http_worker_client;
mod job_body;
mod json;
mod platform_http_client;
mod rows_store;
mod worker_reports;

#[cfg(test)]
mod tests;

pub(crate) use {
    client_protocol::{ClientAction, ClientProtocol},
    config_document::parse_config,
    errors::PlatformError,
    http_worker_client::HttpWorkerClient,
    platform_http_client::PlatformHttpClient,
    rows_store::RowsStore,
    worker_reports::{WorkerReport, parse_worker_report},
};
