//! Why a program ended.

use {
    crate::conf::ConfError,
    opentelemetry_sdk::error::OTelSdkError,
    quick_error::quick_error,
    std::{io, net::SocketAddr},
};

quick_error! {
    /// Why a program could not do its work.
    #[derive(Debug)]
    pub enum RunError {
        /// The settings or a document can't be used.
        Conf(error: ConfError) {
            from()
            display("{}", error)
            source(error)
        }
        /// The address can't be listened on.
        Listen(addr: SocketAddr, error: io::Error) {
            display("{}: {}", addr, error)
            source(error)
        }
        /// The metrics can't be set up.
        Metrics(error: OTelSdkError) {
            display("metrics: {}", error)
            source(error)
        }
        /// The async runtime can't be set up.
        Runtime(error: io::Error) {
            display("runtime: {}", error)
            source(error)
        }
        /// The entry gave no reply.
        Unreachable(detail: String) {
            display("no reply from the entry: {}", detail)
        }
        /// The entry refused.
        Refused(detail: String) {
            display("{}", detail)
        }
        /// The entry found faults in a document.
        InvalidDocument(detail: String) {
            display("{}", detail)
        }
        /// An argument is missing or can't be used.
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
