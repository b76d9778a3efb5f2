//! Reads response bodies that may be large.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::timeout,
};

/// Reads a body and fails if no data arrives for `idle_timeout_ms`.
///
/// There is no limit on the total time, so a large response over a slow link completes.
pub(crate) async fn read_body_with_idle_timeout(
    mut body: Incoming,
    idle_timeout_ms: u64,
) -> Result<Bytes, String> {
    let idle_timeout = Duration::from_millis(idle_timeout_ms);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| "timed out".to_owned())? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
