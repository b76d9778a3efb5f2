//! Reads request bodies into one buffer that is counted.

use {
    crate::{adapters::connections::TrackedConnection, core::routes::HttpLimits},
    bytes::Bytes,
    hyper::body::{Body, Incoming},
    quick_error::quick_error,
    std::{
        future::{Future, poll_fn},
        pin::Pin,
        task::Poll,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Smallest allocation for a body.
const MIN_CAPACITY_BYTES: usize = 1_024;

quick_error! {
    /// Why a request could not be received.
    #[derive(Debug)]
    pub enum ReceiveError {
        /// The body is larger than this many bytes.
        TooLarge(max_bytes: usize) {
            display("at most {} bytes", max_bytes)
        }
        /// The body is malformed or incomplete.
        Broken(error: hyper::Error) {
            from()
            display("{}", error)
        }
        /// No data arrived in time.
        TimedOut {
            display("the body was not received in time")
        }
        /// The server is out of memory or connections.
        Rejected {
            display("too many unfinished requests")
        }
    }
}

/// Reads a body; fails if no data arrives for the idle timeout.
///
/// The frames are copied: each holds a read buffer of its own, so that a body in small chunks would
/// occupy many times its size.
pub(super) async fn read_body(
    mut body: Incoming,
    limits: &HttpLimits,
    connection: &TrackedConnection,
) -> Result<Bytes, ReceiveError> {
    let max_bytes = limits.max_body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReceiveError::TooLarge(max_bytes));
    }
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let mut data_at = Instant::now();
    let (close_order, idle) = (connection.close_order(), sleep(idle_timeout));
    tokio::pin!(close_order, idle);
    let mut buffer = Vec::new();
    loop {
        let frame = poll_fn(|context| {
            // The timer and the order are only looked at when no data is there: a body may have many frames.
            if let Poll::Ready(frame) = Pin::new(&mut body).poll_frame(context) {
                return Poll::Ready(Ok(frame));
            }
            if close_order.as_mut().poll(context).is_ready() {
                return Poll::Ready(Err(ReceiveError::Rejected));
            }
            while idle.as_mut().poll(context).is_ready() {
                let timeout_at = data_at + idle_timeout;
                if timeout_at <= Instant::now() {
                    return Poll::Ready(Err(ReceiveError::TimedOut));
                }
                idle.as_mut().reset(timeout_at);
            }
            Poll::Pending
        });
        let Some(frame) = frame.await? else {
            return Ok(Bytes::from(buffer));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if data.len() > max_bytes - buffer.len() {
            return Err(ReceiveError::TooLarge(max_bytes));
        }
        if connection.is_closing() {
            return Err(ReceiveError::Rejected);
        }
        data_at = Instant::now();
        let needed = buffer.len() + data.len();
        if needed > buffer.capacity() {
            let capacity = next_capacity(buffer.capacity(), needed, max_bytes);
            if !connection.reserve(capacity - buffer.capacity()) {
                return Err(ReceiveError::Rejected);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
}

/// Doubles the capacity until the needed bytes fit, up to the largest body.
fn next_capacity(capacity: usize, needed: usize, max_bytes: usize) -> usize {
    let doubled = capacity.saturating_mul(2).max(MIN_CAPACITY_BYTES);
    doubled.min(max_bytes).max(needed)
}
