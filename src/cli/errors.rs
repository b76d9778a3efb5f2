//! Errors that end a program.

use {
    crate::conf::ConfError,
    opentelemetry_sdk::error::OTelSdkError,
    quick_error::quick_error,
    std::{io, net::SocketAddr},
};

quick_error! {
    /// An error that ends a program.
    #[derive(Debug)]
    pub enum RunError {
        /// A settings file or configuration document can't be used.
        Conf(error: ConfError) {
            from()
            display("{}", error)
            source(error)
        }
        /// Listening on the address failed.
        Listen(addr: SocketAddr, error: io::Error) {
            display("{}: {}", addr, error)
            source(error)
        }
        /// Initializing the metrics failed.
        Metrics(error: OTelSdkError) {
            display("metrics: {}", error)
            source(error)
        }
        /// Starting the async runtime failed.
        Runtime(error: io::Error) {
            display("runtime: {}", error)
            source(error)
        }
        /// The entry sent no response.
        Unreachable(detail: String) {
            display("no response from the entry: {}", detail)
        }
        /// The entry refused the request.
        Refused(detail: String) {
            display("{}", detail)
        }
        /// The entry rejected a document because of its faults.
        InvalidDocument(detail: String) {
            display("{}", detail)
        }
        /// An argument is missing or invalid.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// A check failed.
        Failed(detail: String) {
            display("{}", detail)
        }
    }
}

impl RunError {
    /// Wraps an error of the metrics library.
    pub(crate) const fn metrics(error: OTelSdkError) -> Self {
        Self::Metrics(error)
    }
}
