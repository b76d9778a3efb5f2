//! Reads response bodies that may be large.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    quick_error::quick_error,
    std::time::Duration,
    tokio::time::timeout,
};

quick_error! {
    /// Why a response body is incomplete.
    #[derive(Debug)]
    pub enum BodyError {
        /// No data arrived in time.
        TimedOut {
            display("timed out")
        }
        /// The connection failed.
        Lost(error: hyper::Error) {
            from()
            display("{}", error)
        }
    }
}

/// Reads a body and fails if no data arrives for `idle_timeout_ms`.
///
/// There is no limit on the total time, so a large response over a slow link completes.
pub(crate) async fn read_body_with_idle_timeout(
    mut body: Incoming,
    idle_timeout_ms: u64,
) -> Result<Bytes, BodyError> {
    let idle_timeout = Duration::from_millis(idle_timeout_ms);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::TimedOut)? else {
            return Ok(bytes.freeze());
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
