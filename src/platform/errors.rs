//! Why a call or a text of the platform can't be used.

use {crate::ports::StoreError, http::StatusCode, quick_error::quick_error};

quick_error! {
    /// A call that gave nothing, or a text that can't be read.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The request can't be formed.
        Request(error: http::Error) {
            from()
            display("the request can't be formed: {}", error)
        }
        /// No connection; nothing was done.
        NoConnection(detail: String) {
            display("no connection: {}", detail)
        }
        /// The connection broke or stayed silent; the call may have been carried out.
        NoResponse(detail: String) {
            display("no answer: {}", detail)
        }
        /// The other side refused; nothing was done.
        Rejected(status: StatusCode) {
            display("refused with status {}", status)
        }
        /// A body or row that can't be read.
        Malformed(detail: String) {
            display("unreadable: {}", detail)
        }
    }
}

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        let detail = error.to_string();
        match error {
            PlatformError::NoResponse(_) => Self::OutcomeUnknown(detail),
            PlatformError::Request(_)
            | PlatformError::NoConnection(_)
            | PlatformError::Rejected(_)
            | PlatformError::Malformed(_) => Self::Unavailable(detail),
        }
    }
}
