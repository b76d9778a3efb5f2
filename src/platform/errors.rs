//! Errors of the platform's calls and formats.

use {crate::ports::StoreError, http::StatusCode, quick_error::quick_error};

quick_error! {
    /// A failed call, or data that can't be parsed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The request is invalid.
        Request(error: http::Error) {
            from()
            display("invalid request: {}", error)
        }
        /// No connection; the call was not executed.
        NoConnection(detail: String) {
            display("no connection: {}", detail)
        }
        /// The host refused the connection: no process is listening.
        Refused(detail: String) {
            display("connection refused: {}", detail)
        }
        /// The connection failed or timed out; the call may have been executed.
        NoResponse(detail: String) {
            display("no response: {}", detail)
        }
        /// The server rejected the call and did not execute it.
        Rejected(status: StatusCode) {
            display("rejected with status {}", status)
        }
        /// A body or row can't be parsed.
        Malformed(detail: String) {
            display("malformed data: {}", detail)
        }
    }
}

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        let detail = error.to_string();
        match error {
            // The server may have executed a call whose response can't be parsed.
            PlatformError::NoResponse(_) | PlatformError::Malformed(_) => {
                Self::OutcomeUnknown(detail)
            }
            PlatformError::Request(_)
            | PlatformError::NoConnection(_)
            | PlatformError::Refused(_)
            | PlatformError::Rejected(_) => Self::Unavailable(detail),
        }
    }
}
