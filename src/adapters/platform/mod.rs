//! The platform's table and object store over HTTP with JSON.

mod http_store;

pub(crate) use http_store::HttpStore;
