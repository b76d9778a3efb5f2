//! Client of the backend server over HTTP/1.1.

mod gated_connection;
mod http_backend;

#[cfg(test)]
mod tests;

pub(crate) use http_backend::{HttpBackend, NOT_RUN_HEADER, RUN_PATH, STOP_PATH, TASK_HEADER};
